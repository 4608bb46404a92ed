#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace citronfall {

/// Number of a service's `assigned` daemons that run the statements of a tenant with the given share (0 to 1) of the
/// load that the operators allow all tenants together. A small tenant meets at one daemon, which needs one or two
/// connections to a member for it; a large one is spread, so that no daemon carries it alone. Thread-safe.
[[nodiscard]] std::size_t tenant_holder_count(double share, std::size_t assigned);

/// The daemons `assigned` to a service in the order in which they run the statements of a tenant: all daemons compute
/// the same, and a daemon that is lost moves only the tenants that it ran. Thread-safe.
[[nodiscard]] std::vector<std::string> tenant_holder_order(const std::string& service, const std::string& tenant,
                                                           const std::vector<std::string>& assigned);

} // namespace citronfall
