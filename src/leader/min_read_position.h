#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"

namespace citronfall {

/// Fields of a read floor.
struct min_read_position_fields {
    log_position position;
    instant known_since{}; ///< When the primary's log was known to hold the position.

    friend auto operator<=>(const min_read_position_fields&, const min_read_position_fields&) = default;
};

/// Lowest position that a member's log must hold to serve a read.
using min_read_position = immutable<min_read_position_fields>;

} // namespace citronfall
