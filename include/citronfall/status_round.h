#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"

namespace citronfall {

/// Fields of an evidence round.
struct status_round_fields {
    instant sent_at;       ///< The calls of a majority, the primary among them, were sent at or after this.
    log_position position; ///< Last position that the primary reported: every write confirmed before is at or below it.

    friend auto operator<=>(const status_round_fields&, const status_round_fields&) = default;
};

/// A completed round of status calls: proof of how far the group's log reached at an instant.
class status_round : public immutable<status_round_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
