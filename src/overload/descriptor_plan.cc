#include "overload/descriptor_plan.h"

#include <algorithm>

namespace citronfall {
namespace {

/// The platform keeps this many descriptors for files; of fewer than four times as many, a quarter.
constexpr std::size_t max_files = 200;
constexpr std::size_t file_divisor = 4;

/// Part of the sockets for each of peers and members. In a large fleet that has lost many daemons all others may
/// connect to one.
constexpr std::size_t share_divisor = 8;
constexpr std::size_t min_share = 8;

/// The probe and the metrics reader have one connection each at a time; the rest is for operators.
constexpr std::size_t monitoring_connections = 8;

constexpr std::size_t monitoring_addresses = 2;

} // namespace

descriptor_plan plan_descriptors(std::uint32_t max_descriptors)
{
    const std::size_t all = max_descriptors;
    const std::size_t sockets = all - std::min(max_files, all / file_divisor);
    const std::size_t share = std::max(sockets / share_divisor, min_share);
    const std::size_t kept = 2 * share + monitoring_addresses * monitoring_connections;
    return descriptor_plan{{.callers = sockets > kept ? sockets - kept : 1,
                            .peers = share,
                            .members = share,
                            .monitoring = monitoring_connections}};
}

} // namespace citronfall
