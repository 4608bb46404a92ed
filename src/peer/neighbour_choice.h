#pragma once

#include "citronfall/immutable.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace citronfall {

/// Fields of a neighbour_candidate.
struct neighbour_candidate_fields {
    std::string address;     ///< "ip:port"
    std::string data_center; ///< Empty until the daemon's hello is received.
    bool failed = false;     ///< The last connection attempt failed.

    friend auto operator<=>(const neighbour_candidate_fields&, const neighbour_candidate_fields&) = default;
};

/// A daemon that may become a neighbour.
class neighbour_candidate : public immutable<neighbour_candidate_fields> {
public:
    using immutable::immutable;
};

/// Criteria for choosing neighbours.
struct neighbour_criteria {
    std::string address;                                ///< Address of the choosing daemon, which is never chosen.
    std::string data_center;                            ///< Data centre of the choosing daemon.
    std::size_t count = 4;                              ///< Maximum number of neighbours.
    std::function<std::uint64_t(std::uint64_t)> random; ///< Returns a random number below its argument.
};

/// Chooses the addresses of at most `count` distinct daemons to connect to.
///
/// The first is the successor of this daemon in the sorted ring of addresses, so that the neighbours of all daemons
/// with the same list form a connected graph. The second is a random daemon of another data centre, so that changes
/// reach all data centres in few hops. The others are random daemons of the same data centre, then of any. Candidates
/// whose last connection attempt failed are chosen last. Thread-safe.
[[nodiscard]] std::vector<std::string> choose_neighbours(const std::vector<neighbour_candidate>& candidates,
                                                         const neighbour_criteria& criteria);

} // namespace citronfall
