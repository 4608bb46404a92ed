#include "dispatch/wait_policy.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Typical time from the loss of a leader to the first answer of the next one: the loss is detected, log positions are
/// collected, and a replica is promoted.
constexpr duration typical_leader_change = std::chrono::milliseconds(700);

/// Typical time from the start of a daemon until it knows the leaders: connections are opened, and each member answers
/// once.
constexpr duration typical_leader_search = std::chrono::milliseconds(300);

/// Once a change of leader or the first search takes longer than this, its remaining time is unknown.
constexpr duration max_leader_change = std::chrono::milliseconds(1500);

/// Lower bound on the remaining time of a change in progress.
constexpr duration min_remaining = std::chrono::milliseconds(50);

/// Retry delay told to callers while the time of recovery is unknown.
constexpr duration default_retry_delay = std::chrono::milliseconds(1000);

/// Remaining time of something that began at `since` and typically takes `typical`; nothing if it is unknown.
std::optional<duration> remaining(const std::optional<instant>& since, duration typical, instant now)
{
    if (!since || now - *since > max_leader_change) {
        return std::nullopt;
    }
    return std::max(typical - (now - *since), min_remaining);
}

} // namespace

std::optional<duration> expected_wait(const wait_conditions& conditions)
{
    if (conditions->needs_leader && !conditions->leader_known) {
        return conditions->leader_lost_at
                   ? remaining(conditions->leader_lost_at, typical_leader_change, conditions->now)
                   : remaining(conditions->leader_searched_since, typical_leader_search, conditions->now);
    }
    if (conditions->connections == 0) {
        return std::nullopt;
    }
    const auto rounds = static_cast<std::int64_t>(conditions->queued_ahead / conditions->connections);
    return conditions->service_time * rounds;
}

bool worth_waiting(const wait_conditions& conditions)
{
    const auto wait = expected_wait(conditions);
    const bool for_leader = conditions->needs_leader && !conditions->leader_known;
    const instant limit = for_leader ? conditions->deadline : std::min(conditions->target, conditions->deadline);
    return wait && conditions->now + *wait + conditions->service_time <= limit;
}

duration retry_after(const wait_conditions& conditions)
{
    return expected_wait(conditions).value_or(default_retry_delay);
}

} // namespace citronfall
