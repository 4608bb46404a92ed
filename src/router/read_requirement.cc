#include "router/read_requirement.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Upper bound of the staleness, so that subtracting it from an instant cannot overflow. Exceeds the age of all status
/// rounds that are kept.
constexpr duration greatest_age = std::chrono::hours(24);

} // namespace

read_requirement read_requirement::make(const caller_request& request, const class_config& rules)
{
    read_requirement_fields fields;
    if (request->session) {
        fields.seen = request->session->position(request->group);
    }
    const auto& own = request->max_staleness;
    const auto& declared = rules->max_staleness;
    if (own && declared) {
        fields.age = std::min(*own, *declared);
    } else {
        fields.age = own ? own : declared;
    }
    if (fields.age) {
        fields.age = std::clamp(*fields.age, duration::zero(), greatest_age);
    }
    fields.fresh = !fields.age && fields.seen->index == 0;
    return read_requirement{fields};
}

} // namespace citronfall
