#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
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

/// The assignment of a service whose members accept `limit` connections each, to some of the registered `daemons`, as
/// the daemon `self` sees it. Thread-safe.
[[nodiscard]] service_assignment make_service_assignment(const std::string& service,
                                                         const std::vector<std::string>& daemons, std::uint32_t limit,
                                                         const std::string& self);

} // namespace citronfall
