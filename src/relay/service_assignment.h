#pragma once

#include "citronfall/immutable.h"
#include "relay/assigned_daemons.h"
#include "relay/relay_candidate.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronfall {

/// Fields of a service's assignment.
struct service_assignment_fields {
    std::vector<std::string> assigned; ///< Daemons that hold connections to the members; most preferred first.
    std::vector<std::string> targets;  ///< The others of them, in the order in which this daemon relays to them.
    bool self_assigned = true;         ///< This daemon is one of them.

    friend auto operator<=>(const service_assignment_fields&, const service_assignment_fields&) = default;
};

/// Which daemons hold connections to the members of one service, as one daemon sees it.
using service_assignment = immutable<service_assignment_fields>;

/// The assignments of all services as the daemon `self` sees them, by service. `limits` has the connections that one
/// member accepts; `daemons` are the registered daemons, with `self`. Thread-safe.
[[nodiscard]] std::map<std::string, service_assignment>
make_service_assignments(const std::map<std::string, std::uint32_t>& limits,
                         const std::vector<relay_candidate>& daemons, const relay_candidate& self,
                         connection_sharing sharing = connection_sharing::all_sessions);

} // namespace citronfall
