#include "router/read_requirement.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Upper bound of the staleness, so that subtracting it from an instant cannot overflow. Exceeds the age of all status
/// rounds that are kept.
constexpr duration max_age = std::chrono::hours(24);

} // namespace

read_requirement read_requirement::make(const caller_request& request, const class_config& config)
{
    read_requirement_fields fields;
    if (request->session) {
        fields.session_position = request->session->position(request->group);
    }
    const auto& own = request->max_staleness;
    const auto& declared = config->max_staleness;
    if (own && declared) {
        fields.max_staleness = std::min(*own, *declared);
    } else {
        fields.max_staleness = own ? own : declared;
    }
    if (fields.max_staleness) {
        fields.max_staleness = std::clamp(*fields.max_staleness, duration::zero(), max_age);
    }
    fields.linearizable = !fields.max_staleness && fields.session_position->index == 0;
    return read_requirement{fields};
}

} // namespace citronfall
