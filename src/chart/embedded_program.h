#pragma once

#include "citronfall/chart.h"
#include "citronfall/chart_program.h"
#include "citronfall/result.h"

#include <string_view>
#include <utility>

namespace citronfall {

/// Binds an embedded chart to the code of its guards, actions and timers. Errors (bad_request): those of
/// chart::make_embedded() and chart_program::make(). Thread-safe.
template <class Event, class Context>
[[nodiscard]] result<chart_program<Event, Context>> make_embedded_program(std::string_view name,
                                                                          chart_bindings<Context> bindings)
{
    auto subject = chart::make_embedded(name);
    if (!ok(subject)) {
        return error_of(subject);
    }
    return chart_program<Event, Context>::make(take(std::move(subject)), std::move(bindings));
}

} // namespace citronfall
