#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

/// Number of daemons, out of `daemons`, that are assigned to a service whose members accept `limit` connections each
/// (0: no limit). Assigned daemons hold connections to the members; the others relay their statements to them. All
/// daemons are assigned if each can keep a connection. Otherwise so few are assigned that each can keep several,
/// because a daemon's only connection would be idle most of the time. Thread-safe.
[[nodiscard]] std::size_t assigned_daemon_count(std::uint32_t limit, std::size_t daemons);

/// The daemons assigned to a service, lowest rank first. Rendezvous hashing makes all daemons compute the same list,
/// which changes little when a daemon is added or removed. Thread-safe.
[[nodiscard]] std::vector<std::string> assigned_daemons(const std::string& service,
                                                        const std::vector<std::string>& daemons, std::uint32_t limit);

/// The daemons `assigned` to a service, in the order in which the daemon `self` prefers to relay to them. The order
/// differs between daemons, which spreads the load. Thread-safe.
[[nodiscard]] std::vector<std::string> preferred_relay_targets(const std::string& self,
                                                               const std::vector<std::string>& assigned);

/// Rank of a daemon for a service by rendezvous hashing; the lowest comes first. The same on all daemons. Thread-safe.
[[nodiscard]] std::uint64_t rendezvous_rank(const std::string& service, const std::string& daemon);

} // namespace citronfall
