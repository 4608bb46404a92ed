#include "dispatch/placement.h"

#include <algorithm>
#include <limits>

namespace citronfall {
namespace {

/// Reads that others can serve count this much slower on the leader, which alone serves writes and fresh reads.
constexpr double leader_factor = 1.5;

/// A member that has just started works this much slower; the platform's members state no factor of their own.
constexpr double warm_up_factor = 1.6;

/// What one attempt at a member that probably lacks the required position costs: its refusal and the next attempt.
constexpr duration behind_cost = std::chrono::milliseconds(30);

/// Round trip between data centres of one region.
constexpr duration remote_cost = std::chrono::milliseconds(2);

/// Connections to the leader that reads leave free for statements that only the leader can serve.
constexpr std::size_t leader_reserve = 1;

/// Expected answers that differ by less than this share count as equal.
constexpr double tie_part = 0.15;

bool usable(const placement_candidate& each, bool allow_reserve, bool allow_draining)
{
    if (each->reach == member_reach::silent || each->reach == member_reach::down || each->idle == 0) {
        return false;
    }
    if (each->draining && !allow_draining) {
        return false;
    }
    return !each->leads || allow_reserve || each->idle > leader_reserve;
}

std::optional<std::string> choose_usable(const std::vector<placement_candidate>& candidates, bool allow_reserve,
                                         bool allow_draining, const std::function<std::uint64_t(std::uint64_t)>& random)
{
    duration best = duration::max();
    for (const placement_candidate& each : candidates) {
        if (usable(each, allow_reserve, allow_draining)) {
            best = std::min(best, expected_answer(each));
        }
    }
    std::vector<std::string> equal;
    for (const placement_candidate& each : candidates) {
        if (usable(each, allow_reserve, allow_draining) &&
            static_cast<double>(expected_answer(each).count()) <= static_cast<double>(best.count()) * (1 + tie_part)) {
            equal.push_back(each->member);
        }
    }
    return equal.empty() ? std::nullopt : std::optional(equal[random(equal.size())]);
}

} // namespace

duration expected_answer(const placement_candidate& candidate)
{
    const double queue = 1 + static_cast<double>(candidate->running) / std::max(1U, candidate->slots);
    double factor = queue;
    factor *= candidate->leads ? leader_factor : 1;
    factor *= candidate->warming_up ? warm_up_factor : 1;
    auto expected = std::chrono::duration_cast<duration>(candidate->latency * factor);
    expected += candidate->holds_floor ? duration{} : behind_cost;
    expected += candidate->local ? duration{} : remote_cost;
    return expected;
}

std::optional<std::string> choose_member(const std::vector<placement_candidate>& candidates,
                                         const std::function<std::uint64_t(std::uint64_t)>& random)
{
    if (auto chosen = choose_usable(candidates, false, false, random)) {
        return chosen;
    }
    if (auto chosen = choose_usable(candidates, true, false, random)) {
        return chosen;
    }
    return choose_usable(candidates, true, true, random);
}

} // namespace citronfall
