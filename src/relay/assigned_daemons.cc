#include "relay/assigned_daemons.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Part of a member's limit that is kept open without use; connection_budget.cc says why no more.
constexpr double kept_part = 0.45;

/// Connections that a home keeps to each member: with fewer, transactions that pause leave none for other statements.
constexpr double connections_per_home = 3;

/// A service stays served while two homes are lost at once.
constexpr std::size_t least_homes = 3;

} // namespace

std::uint64_t rendezvous_rank(const std::string& service, const std::string& daemon)
{
    // FNV-1a, which is the same on all daemons.
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : service + "/" + daemon) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    // Names that differ in their last character only would otherwise keep their order for all services.
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

std::size_t assigned_daemon_count(std::uint32_t limit, std::size_t daemons)
{
    const double kept = limit * kept_part;
    if (limit == 0 || static_cast<double>(daemons) <= kept) {
        return daemons;
    }
    return std::min(daemons, std::max(static_cast<std::size_t>(kept / connections_per_home), least_homes));
}

std::vector<std::string> assigned_daemons(const std::string& service, const std::vector<std::string>& daemons,
                                          std::uint32_t limit)
{
    std::vector<std::string> ranked = daemons;
    std::sort(ranked.begin(), ranked.end(), [&](const std::string& a, const std::string& b) {
        return rendezvous_rank(service, a) < rendezvous_rank(service, b);
    });
    ranked.resize(assigned_daemon_count(limit, ranked.size()));
    return ranked;
}

std::vector<std::string> preferred_relay_targets(const std::string& self, std::vector<std::string> assigned)
{
    std::sort(assigned.begin(), assigned.end(), [&](const std::string& a, const std::string& b) {
        return rendezvous_rank(self, a) < rendezvous_rank(self, b);
    });
    return assigned;
}

} // namespace citronfall
