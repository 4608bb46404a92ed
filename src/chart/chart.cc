#include "citronfall/chart.h"

#include "chart/chart_reader.h"
#include "chart/embedded_charts.h"

namespace citronfall {

result<chart> chart::make(const chart_source& source)
{
    return chart_reader::read(source);
}

result<chart> chart::make_embedded(std::string_view name)
{
    for (const embedded_chart& candidate : embedded_charts()) {
        if (candidate.name == name) {
            return make({.file = candidate.name, .text = candidate.text});
        }
    }
    return error{{.kind = error_kind::bad_request, .detail = "no chart named " + std::string(name)}};
}

result<state_id> chart::find(std::string_view state_name) const
{
    for (std::size_t i = 0; i < states_.size(); ++i) {
        if (states_[i]->name == state_name) {
            return static_cast<state_id>(i);
        }
    }
    return error{{.kind = error_kind::bad_request, .detail = name_ + ": no state " + std::string(state_name)}};
}

} // namespace citronfall
