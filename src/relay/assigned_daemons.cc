#include "relay/assigned_daemons.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>
#include <tuple>

namespace citronfall {
namespace {

/// Fraction of a member's connection limit that all daemons together keep open; pool/connection_budget.cc explains it.
constexpr double kept_fraction = 0.45;

/// Connections that an assigned daemon keeps to each member. With fewer, idle transactions could occupy all of them.
constexpr double connections_per_assigned = 3;

/// As above where a connection serves one tenant only: the tenants that meet at a daemon need connections of their own.
constexpr double connections_per_assigned_by_tenant = 6;

/// Minimum number of assigned daemons, so that a service survives the loss of two at once.
constexpr std::size_t min_assigned = 3;

/// Services that a daemon may have, relative to its part by capacity, while others have fewer.
constexpr double max_load_factor = 1.25;

/// Least capacity that counts, so that a daemon that states none is still a candidate.
constexpr double min_capacity = 0.001;

/// Continues an FNV-1a hash with the characters of `text`. The hash must be the same on all daemons.
constexpr std::uint64_t continue_hash(std::uint64_t hash, std::string_view text)
{
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    return hash;
}

/// Hash of everything that the ranks for one key have in common.
std::uint64_t hash_of_key(std::string_view key)
{
    return continue_hash(continue_hash(14695981039346656037ULL, key), "/");
}

std::uint64_t rank_of(std::uint64_t key_hash, std::string_view daemon)
{
    std::uint64_t hash = continue_hash(key_hash, daemon);
    // Mix the bits: names that differ only in the last character would otherwise rank the same for all services.
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

/// A candidate with its rank; the lowest come first.
struct ranked_candidate {
    double rank = 0;
    const relay_candidate* candidate = nullptr;
};

/// All candidates, lowest rank for `key` first. With `weighted`, more capacity makes a low rank more likely.
std::vector<ranked_candidate> ranked(const std::string& key, const std::vector<relay_candidate>& candidates,
                                     bool weighted)
{
    const std::uint64_t key_hash = hash_of_key(key);
    std::vector<ranked_candidate> all;
    all.reserve(candidates.size());
    for (const relay_candidate& each : candidates) {
        // Uniform in (0, 1]; -ln(u) / capacity is the weighted form of rendezvous hashing.
        const double u = (static_cast<double>(rank_of(key_hash, each->name) >> 11U) + 1) / 9007199254740992.0;
        const double weight = weighted ? std::max(each->capacity, min_capacity) : 1;
        all.push_back({.rank = -std::log(u) / weight, .candidate = &each});
    }
    std::sort(all.begin(), all.end(), [](const ranked_candidate& a, const ranked_candidate& b) {
        return std::tie(a.rank, (*a.candidate)->name) < std::tie(b.rank, (*b.candidate)->name);
    });
    return all;
}

/// Assigns daemons to one service after the other.
class assigner {
public:
    assigner(const std::vector<relay_candidate>& daemons, std::size_t places) : daemons_(daemons)
    {
        double capacity = 0;
        for (const relay_candidate& each : daemons) {
            capacity += std::max(each->capacity, min_capacity);
            ++population_[each->data_center];
        }
        services_per_capacity_ = max_load_factor * static_cast<double>(places) / capacity;
    }

    std::vector<std::string> assign(const std::string& service, std::size_t count)
    {
        std::map<std::string, std::size_t> places; // Left, by data centre.
        for (const auto& [data_center, population] : population_) {
            places[data_center] = (population * count + daemons_.size() - 1) / daemons_.size();
        }
        std::vector<std::string> assigned;
        std::vector<ranked_candidate> passed_over;
        const auto take = [&](const ranked_candidate& each) {
            --places.at((*each.candidate)->data_center);
            ++services_of_[(*each.candidate)->name];
            assigned.push_back((*each.candidate)->name);
        };
        for (const ranked_candidate& each : ranked(service, daemons_, true)) {
            if (assigned.size() < count && places.at((*each.candidate)->data_center) > 0) {
                has_room(*each.candidate) ? take(each) : passed_over.push_back(each);
            }
        }
        for (const ranked_candidate& each : passed_over) {
            if (assigned.size() < count && places.at((*each.candidate)->data_center) > 0) {
                take(each);
            }
        }
        return assigned;
    }

private:
    /// Whether the daemon has fewer services than its part. Any daemon may have one.
    [[nodiscard]] bool has_room(const relay_candidate& daemon) const
    {
        const auto found = services_of_.find(daemon->name);
        const std::size_t services = found == services_of_.end() ? 0 : found->second;
        return services == 0 || static_cast<double>(services + 1) <= services_per_capacity_ * daemon->capacity;
    }

    const std::vector<relay_candidate>& daemons_;
    double services_per_capacity_ = 0;
    std::map<std::string, std::size_t> population_;  ///< Daemons, by data centre.
    std::map<std::string, std::size_t> services_of_; ///< Services assigned so far, by daemon.
};

} // namespace

std::uint64_t rendezvous_rank(const std::string& key, const std::string& daemon)
{
    return rank_of(hash_of_key(key), daemon);
}

std::size_t assigned_daemon_count(std::uint32_t limit, std::size_t daemons, connection_sharing sharing)
{
    const double kept = limit * kept_fraction;
    if (limit == 0 || static_cast<double>(daemons) <= kept) {
        return daemons;
    }
    const double per_daemon =
        sharing == connection_sharing::by_tenant ? connections_per_assigned_by_tenant : connections_per_assigned;
    return std::min(daemons, std::max(static_cast<std::size_t>(kept / per_daemon), min_assigned));
}

std::map<std::string, std::vector<std::string>> assigned_daemons(const std::map<std::string, std::uint32_t>& limits,
                                                                 const std::vector<relay_candidate>& daemons,
                                                                 connection_sharing sharing)
{
    std::size_t places = 0;
    for (const auto& [service, limit] : limits) {
        places += assigned_daemon_count(limit, daemons.size(), sharing);
    }
    assigner assignments(daemons, places);
    std::map<std::string, std::vector<std::string>> assigned;
    for (const auto& [service, limit] : limits) {
        assigned[service] = assignments.assign(service, assigned_daemon_count(limit, daemons.size(), sharing));
    }
    return assigned;
}

std::vector<std::string> preferred_relay_targets(const relay_candidate& self,
                                                 const std::vector<relay_candidate>& assigned)
{
    std::vector<ranked_candidate> order = ranked(self->name, assigned, false);
    std::stable_partition(order.begin(), order.end(), [&self](const ranked_candidate& each) {
        return (*each.candidate)->data_center == self->data_center;
    });
    std::vector<std::string> names;
    for (const ranked_candidate& each : order) {
        names.push_back((*each.candidate)->name);
    }
    return names;
}

} // namespace citronfall
