#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "pool/member_health.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace citronfall {

/// Fields of a candidate.
struct placement_candidate_fields {
    std::string member;
    bool leads = false;
    bool draining = false;
    bool has_min_position = true; ///< Its log is expected to contain the position that the read requires.
    bool refused = false;         ///< It has refused this read.
    bool local = false;           ///< In the data centre of this daemon.
    bool paused = false;          ///< It has just started or recovered, and its pace allows no further statement now.
    bool warming_up = false;
    member_reachability reachability = member_reachability::reachable;
    std::size_t idle = 0;    ///< Idle connections to it.
    std::size_t running = 0; ///< Statements of this daemon in progress on it.
    std::uint32_t slots = 1;
    std::size_t holders = 1; ///< Daemons that send it statements, including this one.
    duration latency{};      ///< Estimated response time, including the time queued on the member.

    friend auto operator<=>(const placement_candidate_fields&, const placement_candidate_fields&) = default;
};

/// A member that could serve a read.
using placement_candidate = immutable<placement_candidate_fields>;

/// Expected response time of a candidate. Thread-safe.
[[nodiscard]] duration expected_response_time(const placement_candidate& candidate);

/// Chooses the member for a read that any member with a sufficiently recent log can serve. Returns nothing if no
/// suitable candidate has an idle connection. `random` returns a number below its argument; it breaks ties between
/// candidates of nearly equal cost, which all daemons would otherwise choose at the same time.
///
/// Meant for many short reads on few slots. The leader keeps capacity for statements that only it can serve; if all
/// replicas are behind, the daemons share its slots for reads. A read waits for the leader rather than going to a
/// replica that is known to be behind and would refuse it. Slow members get fewer reads, and draining members only
/// those that no other member can take. Unreachable members, and members that refused the read, get none. Thread-safe
/// if `random` is.
[[nodiscard]] std::optional<std::string> choose_member(const std::vector<placement_candidate>& candidates,
                                                       const std::function<std::uint64_t(std::uint64_t)>& random);

} // namespace citronfall
