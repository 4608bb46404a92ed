#pragma once

#include "leader/leadership_view.h"
#include "leader/position_history.h"
#include "leader/replica_lag_estimate.h"

#include <map>
#include <optional>
#include <string>

namespace citronfall {

/// What a daemon knows of one service: who leads it, what the leader's log holds and how far its members are. Owned by
/// the decision thread.
struct service_state {
    leadership_view leadership;
    position_history primary_positions;
    std::map<std::string, replica_lag_estimate> replica_lags; ///< By member.
    std::optional<instant> searched_since;                    ///< When this daemon began to look for a leader.
};

} // namespace citronfall
