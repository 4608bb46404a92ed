#include "relay/assigned_daemons.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Fraction of a member's connection limit that all daemons together keep open; pool/connection_budget.cc explains it.
constexpr double kept_fraction = 0.45;

/// Connections that an assigned daemon keeps to each member. With fewer, idle transactions could occupy all of them.
constexpr double connections_per_assigned = 3;

/// Minimum number of assigned daemons, so that a service survives the loss of two at once.
constexpr std::size_t min_assigned = 3;

} // namespace

std::uint64_t rendezvous_rank(const std::string& service, const std::string& daemon)
{
    // FNV-1a, because the hash must be the same on all daemons.
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : service + "/" + daemon) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    // Mix the bits: names that differ only in the last character would otherwise rank the same for all services.
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

std::size_t assigned_daemon_count(std::uint32_t limit, std::size_t daemons)
{
    const double kept = limit * kept_fraction;
    if (limit == 0 || static_cast<double>(daemons) <= kept) {
        return daemons;
    }
    return std::min(daemons, std::max(static_cast<std::size_t>(kept / connections_per_assigned), min_assigned));
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
