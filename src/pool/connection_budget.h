#pragma once

#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace citronfall {

/// Inputs to the decision whether to open or close a connection to a member.
struct connection_demand {
    std::uint32_t limit = 0;             ///< Connections that the member accepts from all daemons together; 0: unknown.
    std::size_t daemons = 1;             ///< Daemons that share the member's connections, including this one.
    bool is_holder = true;               ///< This daemon is one of them; others keep no idle connections.
    std::size_t open = 0;                ///< Connections of this daemon, including those being opened.
    std::size_t opening = 0;             ///< Number of these that are being opened.
    std::size_t waiting = 0;             ///< Statements that wait for a connection.
    std::optional<instant> refused_at{}; ///< When the member last refused a connection because its limit was reached.
    std::size_t refusals = 0;            ///< Such refusals since a connection was last opened.
    std::optional<std::size_t> useful{}; ///< Connections that the pace of the member lets this daemon use.
    instant former_until{};              ///< Until then the member may count connections of former runs of all daemons.
};

/// Until when members may count the connections of a former run, if this daemon started at `started_at`. Thread-safe.
[[nodiscard]] instant former_connections_end(instant started_at);

/// Idle connections to one member that this daemon may keep: an equal part of the member's limit, less a reserve for
/// daemons that restart; at least one. Thread-safe.
[[nodiscard]] std::size_t fair_share(std::uint32_t limit, std::size_t daemons);

/// Whether to open one more connection now. Beyond its fair share a daemon borrows connections that others leave
/// unused, until the member refuses one. While the member may count the connections of former runs, daemons share what
/// those leave. After a refusal a daemon tries one connection at a time, and waits longer before it borrows again.
/// Thread-safe.
[[nodiscard]] bool may_open(const connection_demand& demand, instant now);

/// When should_close() has to be asked about a connection that has been idle since `idle_since`. Thread-safe.
[[nodiscard]] instant surplus_check_time(instant idle_since);

/// Whether to close a connection that has been idle since `idle_since`. Connections beyond the fair share are closed
/// soon, those within it stay open. Thread-safe.
[[nodiscard]] bool should_close(const connection_demand& demand, instant idle_since, instant now);

} // namespace citronfall
