#include "relay/assigned_daemons.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace citronfall {
namespace {

/// Fraction of a member's connection limit that all daemons together keep open; pool/connection_budget.cc explains it.
constexpr double kept_fraction = 0.45;

/// Connections that an assigned daemon keeps to each member. With fewer, idle transactions could occupy all of them.
constexpr double connections_per_assigned = 3;

/// Minimum number of assigned daemons, so that a service survives the loss of two at once.
constexpr std::size_t min_assigned = 3;

/// Continues an FNV-1a hash with the characters of `text`. The hash must be the same on all daemons.
constexpr std::uint64_t continue_hash(std::uint64_t hash, std::string_view text)
{
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    return hash;
}

/// Hash of everything that the ranks of one service have in common.
std::uint64_t hash_of_service(std::string_view service)
{
    return continue_hash(continue_hash(14695981039346656037ULL, service), "/");
}

std::uint64_t rank_of(std::uint64_t service_hash, std::string_view daemon)
{
    std::uint64_t hash = continue_hash(service_hash, daemon);
    // Mix the bits: names that differ only in the last character would otherwise rank the same for all services.
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

/// The `count` daemons that rank lowest for `key`, lowest first. Each rank is computed once.
std::vector<std::string> lowest_ranks(const std::string& key, const std::vector<std::string>& daemons,
                                      std::size_t count)
{
    const std::uint64_t service_hash = hash_of_service(key);
    std::vector<std::pair<std::uint64_t, const std::string*>> ranked;
    ranked.reserve(daemons.size());
    for (const std::string& daemon : daemons) {
        ranked.emplace_back(rank_of(service_hash, daemon), &daemon);
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(),
                      [](const auto& a, const auto& b) { return a.first < b.first; });
    std::vector<std::string> lowest;
    for (auto each = ranked.begin(); each != end; ++each) {
        lowest.push_back(*each->second);
    }
    return lowest;
}

} // namespace

std::uint64_t rendezvous_rank(const std::string& service, const std::string& daemon)
{
    return rank_of(hash_of_service(service), daemon);
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
    return lowest_ranks(service, daemons, assigned_daemon_count(limit, daemons.size()));
}

std::vector<std::string> preferred_relay_targets(const std::string& self, const std::vector<std::string>& assigned)
{
    return lowest_ranks(self, assigned, assigned.size());
}

} // namespace citronfall
