#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"

namespace citronfall {

struct min_read_position_fields {
    log_position position;
    instant known_since{}; ///< When the primary's log was known to contain the position.

    friend auto operator<=>(const min_read_position_fields&, const min_read_position_fields&) = default;
};

/// Lowest position that a member's log must contain to serve a read.
using min_read_position = immutable<min_read_position_fields>;

} // namespace citronfall
