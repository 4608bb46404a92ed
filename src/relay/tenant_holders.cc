#include "relay/tenant_holders.h"

#include "relay/assigned_daemons.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <utility>

namespace citronfall {
namespace {

/// Part of a daemon's even share of a service's load that one tenant may be before it is spread further. Several small
/// tenants meet at a daemon beside it.
constexpr double max_part_of_daemon = 0.6;

} // namespace

std::size_t tenant_holder_count(double share, std::size_t assigned)
{
    const double daemons = std::ceil(share * static_cast<double>(assigned) / max_part_of_daemon);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::max(daemons, 1.0)), 1,
                                   std::max<std::size_t>(assigned, 1));
}

std::vector<std::string> tenant_holder_order(const std::string& service, const std::string& tenant,
                                             const std::vector<std::string>& assigned)
{
    const std::string key = service + "/" + tenant;
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(assigned.size());
    for (const std::string& daemon : assigned) {
        ranked.emplace_back(rendezvous_rank(key, daemon), daemon);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::string> order;
    order.reserve(ranked.size());
    for (auto& [rank, daemon] : ranked) {
        order.push_back(std::move(daemon));
    }
    return order;
}

} // namespace citronfall
