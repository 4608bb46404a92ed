#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"

namespace citronfall {

/// Fields of a read floor.
struct read_floor_fields {
    log_position position;
    instant known_since{}; ///< When the primary's log was known to hold the position.

    friend auto operator<=>(const read_floor_fields&, const read_floor_fields&) = default;
};

/// Lowest position that a member's log must hold to serve a read.
using read_floor = immutable<read_floor_fields>;

} // namespace citronfall
