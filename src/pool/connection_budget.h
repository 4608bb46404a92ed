#pragma once

#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace citronfall {

/// What the decision about one more connection to a member depends on.
struct connection_demand {
    std::uint32_t limit = 0; ///< Connections that the member accepts from all daemons together; 0: not known.
    std::size_t daemons = 1; ///< That hold connections to the member, this one included.
    bool is_holder = true;   ///< This daemon is one of them; others keep none that they do not use.
    std::size_t open = 0;    ///< Connections of this daemon, those being opened included.
    std::size_t opening = 0; ///< Of these, connections being opened.
    std::size_t waiting = 0; ///< Statements that would use a connection at once.
    std::optional<instant> refused_at{}; ///< When the member last refused a connection for lack of room.
};

/// Connections to one member that this daemon may keep although it does not use them: an equal part of the member's
/// limit, less a reserve for daemons that start anew, and at least one. Thread-safe.
[[nodiscard]] std::size_t fair_share(std::uint32_t limit, std::size_t daemons);

/// Whether to open one more connection now. Beyond its fair share a daemon borrows what others leave unused; the
/// member's own refusal tells when nothing is left. Thread-safe.
[[nodiscard]] bool may_open(const connection_demand& demand, instant now);

/// Whether a connection that has been idle since `idle_since` should be closed, with `open` connections to its member:
/// borrowed ones return soon, those of the fair share stay. Thread-safe.
[[nodiscard]] bool should_close(const connection_demand& demand, instant idle_since, instant now);

} // namespace citronfall
