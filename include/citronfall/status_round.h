#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"

namespace citronfall {

struct status_round_fields {
    instant sent_at;       ///< Calls to a majority, including the primary, were sent at or after this instant.
    log_position position; ///< Last position of the primary: every write confirmed before `sent_at` is at or below it.

    friend auto operator<=>(const status_round_fields&, const status_round_fields&) = default;
};

/// Completed round of status calls, which bounds the position of the group's log at an instant.
class status_round : public immutable<status_round_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
