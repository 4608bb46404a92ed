#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"

namespace citronfall {

/// Fields of an observation of a primary's log.
struct position_observation_fields {
    instant sent_at{}; ///< When the statement whose answer carried the position was sent.
    log_position position;

    friend auto operator<=>(const position_observation_fields&, const position_observation_fields&) = default;
};

/// Position of a log whose member proved that it led its group after `sent_at`. Every commit that was acknowledged
/// before `sent_at` is at or below the position.
using position_observation = immutable<position_observation_fields>;

} // namespace citronfall
