#include "dispatch/placement.h"

#include <algorithm>
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
/// elsewhere. The limit lets all daemons together fill the leader's slots without a long queue in front of the
/// statements that only the leader can serve.
constexpr std::size_t leader_read_limit = 1;

/// Relative difference below which expected response times count as equal.
constexpr double tie_tolerance = 0.15;

/// Candidates that one round of the choice admits in addition.
struct candidate_filter {
    bool last_leader_connections = false; ///< The leader's last idle connections.
    bool lagging = false;                 ///< Members that probably lack the required position.
    bool draining = false;                ///< Members that are about to shut down.
};

/// Tried in order until one finds a member. Using the last idle connection of the leader is preferred to an attempt
/// that will probably be refused.
constexpr candidate_filter filters[] = {{},
                                        {.last_leader_connections = true},
                                        {.last_leader_connections = true, .lagging = true},
                                        {.last_leader_connections = true, .lagging = true, .draining = true}};

bool allowed(const placement_candidate& each, const candidate_filter& filter)
{
    const bool unreachable =
        each->reachability == member_reachability::silent || each->reachability == member_reachability::down;
    if (unreachable || each->refused || each->paused || each->idle == 0) {
        return false;
    }
    if ((each->draining && !filter.draining) || (!each->has_min_position && !filter.lagging)) {
        return false;
    }
    if (!each->leads) {
        return true;
    }
    return each->running < leader_read_limit &&
           (filter.last_leader_connections || each->idle > reserved_leader_connections);
}

std::optional<std::string> choose_with(const std::vector<placement_candidate>& candidates,
                                       const candidate_filter& filter,
                                       const std::function<std::uint64_t(std::uint64_t)>& random)
{
    duration best = duration::max();
    for (const placement_candidate& each : candidates) {
        if (allowed(each, filter)) {
            best = std::min(best, expected_response_time(each));
        }
    }
    const double limit = static_cast<double>(best.count()) * (1 + tie_tolerance);
    std::vector<std::string> equal;
    for (const placement_candidate& each : candidates) {
        if (allowed(each, filter) && static_cast<double>(expected_response_time(each).count()) <= limit) {
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
    for (const candidate_filter& filter : filters) {
        if (auto chosen = choose_with(candidates, filter, random)) {
            return chosen;
        }
    }
    return std::nullopt;
}

} // namespace citronfall
