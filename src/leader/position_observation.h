#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"

namespace citronfall {

struct position_observation_fields {
    instant sent_at{}; ///< When the statement was sent whose answer carried the position.
    log_position position;

    friend auto operator<=>(const position_observation_fields&, const position_observation_fields&) = default;
};

/// Log position of a member that proved that it led its service after `sent_at`. Every commit acknowledged before
/// `sent_at` is at or below this position.
using position_observation = immutable<position_observation_fields>;

} // namespace citronfall
