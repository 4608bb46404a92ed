#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstddef>
#include <optional>

namespace citronfall {

/// Fields of wait_conditions.
struct wait_conditions_fields {
    instant now{};
    instant target{};             ///< Latest time of an answer that meets the latency target.
    instant deadline{};           ///< The caller stops waiting at this time.
    duration service_time{};      ///< Expected time from sending the statement to its answer.
    std::size_t queued_ahead = 0; ///< Statements queued in front of it.
    std::size_t connections = 0;  ///< Connections to members that can serve it.
    bool needs_leader = false;
    bool leader_known = true;
    std::optional<instant> leader_lost_at{}; ///< When the last known leader was lost.
    std::optional<instant>
        leader_searched_since{}; ///< When this daemon started to look for the first leader of the service.

    friend auto operator<=>(const wait_conditions_fields&, const wait_conditions_fields&) = default;
};

/// State of a waiting statement and of its service, from which its expected wait follows.
using wait_conditions = immutable<wait_conditions_fields>;

/// Expected time until the statement can be sent; nothing if it cannot be estimated. Thread-safe.
[[nodiscard]] std::optional<duration> expected_wait(const wait_conditions& conditions);

/// Whether the statement should go on waiting. A statement that waits for a connection is refused at once if its answer
/// would miss the latency target: under overload a longer queue makes all answers late and serves no more statements. A
/// statement that waits for a leader may miss the target, because that wait takes no capacity from others, but not its
/// deadline. Thread-safe.
[[nodiscard]] bool worth_waiting(const wait_conditions& conditions);

/// Time after which the caller of a refused statement should retry. Thread-safe.
[[nodiscard]] duration retry_after(const wait_conditions& conditions);

} // namespace citronfall
