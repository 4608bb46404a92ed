#include "dispatch/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace citronfall {
namespace {

/// Cost factor of reads on the leader that replicas can serve as well. Only the leader serves writes and reads that
/// must be current.
constexpr double leader_cost_factor = 1.5;

/// Cost factor of a member that has just started and still answers slowly. The platform's members announce no factor of
/// their own.
constexpr double warm_up_cost_factor = 1.6;

/// Added cost of a member that probably lacks the required position: the time of a refusal and of the next attempt.
constexpr duration lagging_cost = std::chrono::milliseconds(30);

/// Added cost of a member in another data centre: the round trip, and the traffic between data centres that a local
/// member saves.
constexpr duration remote_cost = std::chrono::milliseconds(6);

/// Idle connections to the leader that reads leave unused, for statements that only the leader can serve.
constexpr std::size_t reserved_leader_connections = 1;

/// While this daemon has this many statements in progress on the leader, its reads that replicas can serve as well go
/// elsewhere. The limit keeps the queue short in front of the statements that only the leader can serve.
constexpr std::size_t leader_read_limit = 1;

/// How far the statements of all daemons together may exceed the leader's slots while only the leader can serve reads:
/// a slot is unused for the round trip between two statements of one daemon.
constexpr double slot_overlap = 1.5;

/// Relative difference below which expected response times count as equal.
constexpr double tie_tolerance = 0.15;

/// Candidates that one round of the choice admits in addition.
struct candidate_filter {
    bool last_leader_connections = false; ///< The leader's last idle connections.
    bool lagging = false;  ///< Members that probably lack the required position, if no other member can serve the read.
    bool draining = false; ///< Members that are about to shut down.
};

/// Tried in order until one finds a member.
constexpr candidate_filter filters[] = {{},
                                        {.last_leader_connections = true},
                                        {.last_leader_connections = true, .lagging = true},
                                        {.last_leader_connections = true, .lagging = true, .draining = true}};

bool reachable(const placement_candidate& each)
{
    return each->reachability != member_reachability::silent && each->reachability != member_reachability::down;
}

/// Whether the member can serve the read, now or after a short wait.
bool serves(const placement_candidate& each)
{
    return reachable(each) && !each->refused && each->has_min_position;
}

/// Statements of this daemon in progress on the leader up to which it gets reads that replicas could serve as well.
std::size_t leader_limit(const std::vector<placement_candidate>& candidates)
{
    std::size_t limit = leader_read_limit;
    for (const placement_candidate& each : candidates) {
        if (serves(each) && !each->leads) {
            return leader_read_limit;
        }
        if (each->leads) {
            const double part =
                slot_overlap * each->slots / static_cast<double>(std::max<std::size_t>(each->holders, 1));
            limit = std::max(limit, static_cast<std::size_t>(std::ceil(part)));
        }
    }
    return limit;
}

bool allowed(const placement_candidate& each, const candidate_filter& filter, std::size_t leader_limit)
{
    if (!reachable(each) || each->refused || each->paused || each->idle == 0) {
        return false;
    }
    if ((each->draining && !filter.draining) || (!each->has_min_position && !filter.lagging)) {
        return false;
    }
    if (!each->leads) {
        return true;
    }
    return each->running < leader_limit && (filter.last_leader_connections || each->idle > reserved_leader_connections);
}

std::optional<std::string> choose_with(const std::vector<placement_candidate>& candidates,
                                       const candidate_filter& filter, std::size_t leader_limit,
                                       const std::function<std::uint64_t(std::uint64_t)>& random)
{
    duration best = duration::max();
    for (const placement_candidate& each : candidates) {
        if (allowed(each, filter, leader_limit)) {
            best = std::min(best, expected_response_time(each));
        }
    }
    const double limit = static_cast<double>(best.count()) * (1 + tie_tolerance);
    std::vector<std::string> equal;
    for (const placement_candidate& each : candidates) {
        if (allowed(each, filter, leader_limit) && static_cast<double>(expected_response_time(each).count()) <= limit) {
            equal.push_back(each->member);
        }
    }
    return equal.empty() ? std::nullopt : std::optional(equal[random(equal.size())]);
}

} // namespace

duration expected_response_time(const placement_candidate& candidate)
{
    const double queue = 1 + static_cast<double>(candidate->running) / std::max(1U, candidate->slots);
    double factor = queue;
    factor *= candidate->leads ? leader_cost_factor : 1;
    factor *= candidate->warming_up ? warm_up_cost_factor : 1;
    auto expected = std::chrono::duration_cast<duration>(candidate->latency * factor);
    expected += candidate->has_min_position ? duration{} : lagging_cost;
    expected += candidate->local ? duration{} : remote_cost;
    return expected;
}

std::optional<std::string> choose_member(const std::vector<placement_candidate>& candidates,
                                         const std::function<std::uint64_t(std::uint64_t)>& random)
{
    const bool any_serves = std::any_of(candidates.begin(), candidates.end(), serves);
    const std::size_t limit = leader_limit(candidates);
    for (candidate_filter filter : filters) {
        filter.lagging = filter.lagging && !any_serves;
        if (auto chosen = choose_with(candidates, filter, limit, random)) {
            return chosen;
        }
    }
    return std::nullopt;
}

} // namespace citronfall
