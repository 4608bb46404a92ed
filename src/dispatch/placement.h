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
    bool has_min_position = true; ///< Its log probably holds what the read requires.
    bool refused = false;         ///< It refused this very read.
    bool local = false;           ///< Same data centre as this daemon.
    bool warming_up = false;
    member_reachability reachability = member_reachability::reachable;
    std::size_t idle = 0;    ///< Idle connections to it.
    std::size_t running = 0; ///< Statements of this daemon in progress on it.
    std::uint32_t slots = 1;
    duration latency{}; ///< Recent answers, the member's own queue included.

    friend auto operator<=>(const placement_candidate_fields&, const placement_candidate_fields&) = default;
};

/// A member that could serve a read.
using placement_candidate = immutable<placement_candidate_fields>;

/// Expected time until a candidate has answered. Thread-safe.
[[nodiscard]] duration expected_answer(const placement_candidate& candidate);

/// The member on which to run a read that any member with a recent enough log can serve; nothing if none has an idle
/// connection. `random` gives a number below its argument and breaks ties between nearly equal members, which daemons
/// would otherwise all choose at once. Answers the load of many short reads on few slots: the leader keeps room for
/// what only it can serve unless the replicas are behind, slow members get less, draining and unreachable ones nothing
/// while others are left, and a member that refused the read is not asked again.
/// Thread-safe if `random` is.
[[nodiscard]] std::optional<std::string> choose_member(const std::vector<placement_candidate>& candidates,
                                                       const std::function<std::uint64_t(std::uint64_t)>& random);

} // namespace citronfall
