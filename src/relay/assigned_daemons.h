#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

/// How many of `daemons` daemons hold connections to the members of a service whose members accept `limit` connections
/// each. All of them while each can keep one; else few enough that each keeps several, because a connection that one
/// daemon keeps for itself is idle most of the time. Thread-safe.
[[nodiscard]] std::size_t assigned_daemon_count(std::uint32_t limit, std::size_t daemons);

/// The daemons that hold connections to a service's members, best first: those whose names hash lowest with the
/// service's, so that all daemons choose the same ones and a daemon that comes or goes changes few. Thread-safe.
[[nodiscard]] std::vector<std::string> assigned_daemons(const std::string& service,
                                                        const std::vector<std::string>& daemons, std::uint32_t limit);

/// The home to which a daemon relays statements first, and then the others, in an order of its own that spreads the
/// daemons over the homes. Thread-safe.
[[nodiscard]] std::vector<std::string> preferred_relay_targets(const std::string& self,
                                                               std::vector<std::string> assigned);

/// Rank of a daemon for a service; lower goes first. The same on all daemons. Thread-safe.
[[nodiscard]] std::uint64_t rendezvous_rank(const std::string& service, const std::string& daemon);

} // namespace citronfall
