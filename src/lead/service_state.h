#pragma once

#include "lead/evidence_log.h"
#include "lead/lead_view.h"
#include "lead/replica_progress.h"

#include <map>
#include <optional>
#include <string>

namespace citronfall {

/// What a daemon knows of one service: who leads it, what the leader's log holds and how far its members are. Owned by
/// the decision thread.
struct service_state {
    lead_view lead;
    evidence_log evidence;
    std::map<std::string, replica_progress> progress; ///< By member.
    std::optional<instant> searched_since;            ///< When this daemon began to look for a leader.
};

} // namespace citronfall
