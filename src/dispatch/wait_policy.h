#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstddef>
#include <optional>

namespace citronfall {

/// Fields of a waiting statement's prospects.
struct wait_prospects_fields {
    instant now{};
    instant target{};            ///< An answer after it is late.
    instant deadline{};          ///< After it nobody waits for the answer.
    duration service_time{};     ///< What the statement takes once it is sent.
    std::size_t ahead = 0;       ///< Statements that are served first.
    std::size_t connections = 0; ///< To members that can serve it.
    bool needs_leader = false;
    bool leader_known = true;
    std::optional<instant> leader_lost{};    ///< Since when no leader is known, if one was.
    std::optional<instant> searched_since{}; ///< When this daemon began to look for the service's first leader.

    friend auto operator<=>(const wait_prospects_fields&, const wait_prospects_fields&) = default;
};

/// What decides whether a statement waits or is refused.
using wait_prospects = immutable<wait_prospects_fields>;

/// When a statement can probably be sent; nothing if that cannot be told. Thread-safe.
[[nodiscard]] std::optional<duration> expected_wait(const wait_prospects& prospects);

/// Whether to keep a statement waiting. One that waits for its turn is refused at once if its answer would be late: in
/// an overload a longer queue makes every answer late and serves nobody more. One that waits for a leader may be late,
/// because the change takes no capacity from others, but not past its deadline. Thread-safe.
[[nodiscard]] bool worth_waiting(const wait_prospects& prospects);

/// When a refused caller should come back. Thread-safe.
[[nodiscard]] duration retry_after(const wait_prospects& prospects);

} // namespace citronfall
