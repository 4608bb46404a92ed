#pragma once

#include "leader/leadership_view.h"
#include "leader/position_history.h"
#include "leader/replica_lag_estimate.h"

#include <map>
#include <optional>
#include <string>

namespace citronfall {

/// What a daemon knows about one service: its leader, the leader's log positions and the lag of its members. Owned by
/// the decision thread.
struct service_state {
    leadership_view leadership;
    position_history primary_positions;
    std::map<std::string, replica_lag_estimate> replica_lags; ///< By member.
    std::optional<instant> leader_searched_since; ///< When this daemon started to search for the first leader.
};

} // namespace citronfall
