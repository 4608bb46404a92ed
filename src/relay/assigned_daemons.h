#pragma once

#include "relay/relay_candidate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronfall {

/// What the connections to the members of a service are shared by.
enum class connection_sharing : std::uint8_t {
    all_sessions, ///< A connection serves the sessions of all callers, one after the other.
    by_tenant,    ///< A connection serves the sessions of one tenant only.
};

/// Number of daemons, out of `daemons`, that are assigned to a service whose members accept `limit` connections each
/// (0: no limit). Assigned daemons hold connections to the members; the others relay their statements to them. All
/// daemons are assigned if each can keep a connection. Otherwise so few are assigned that each can keep several,
/// because a daemon's only connection would be idle most of the time. Thread-safe.
[[nodiscard]] std::size_t assigned_daemon_count(std::uint32_t limit, std::size_t daemons,
                                                connection_sharing sharing = connection_sharing::all_sessions);

/// The daemons assigned to each service, lowest rank first. `limits` has the connections that one member accepts, by
/// service.
///
/// Weighted rendezvous hashing makes all daemons compute the same lists, which change little when a daemon is added or
/// removed. A daemon is assigned in proportion to its capacity; one that has its part of the services already is passed
/// over while others have room. Each data centre has its part of a service's daemons, so that the others find one
/// near. Thread-safe.
[[nodiscard]] std::map<std::string, std::vector<std::string>>
assigned_daemons(const std::map<std::string, std::uint32_t>& limits, const std::vector<relay_candidate>& daemons,
                 connection_sharing sharing = connection_sharing::all_sessions);

/// The daemons `assigned` to a service, in the order in which the daemon `self` prefers to relay to them: those of its
/// data centre first. The order differs between daemons, which spreads the load. Thread-safe.
[[nodiscard]] std::vector<std::string> preferred_relay_targets(const relay_candidate& self,
                                                               const std::vector<relay_candidate>& assigned);

/// Hash of a daemon's name for a key, the same on all daemons. Thread-safe.
[[nodiscard]] std::uint64_t rendezvous_rank(const std::string& key, const std::string& daemon);

} // namespace citronfall
