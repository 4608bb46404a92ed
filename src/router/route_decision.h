#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/member_key.h"

#include <cstdint>
#include <optional>

namespace citronfall {

/// Fields of a route decision.
struct route_decision_fields {
    std::optional<member_key> member; ///< Member that takes the request now; absent if it has to wait.
    std::uint32_t member_bit = 0;     ///< The member's bit in read_progress::refused.
    bool primary = false;             ///< Whether the member is the primary of the newest term.
    duration wait{}; ///< Without a member: time to the next attempt, unless new statuses arrive before.

    friend auto operator<=>(const route_decision_fields&, const route_decision_fields&) = default;
};

/// Which member a request is sent to, or how long it waits before it is routed again.
class route_decision : public immutable<route_decision_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
