#include "dispatch/wait_policy.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Typical time from the loss of a leader to the first answer of the next one: suspicion, collecting log positions,
/// promotion.
constexpr duration typical_change = std::chrono::milliseconds(700);

/// Typical time from the start of a daemon until it knows the leaders: connections are opened, and each member answers
/// once.
constexpr duration typical_search = std::chrono::milliseconds(300);

/// Once a change of leader or the first search takes longer than this, its remaining time is unknown.
constexpr duration longest_change = std::chrono::milliseconds(1500);

/// Lower bound on the remaining time of a change in progress.
constexpr duration least_remaining = std::chrono::milliseconds(50);

/// Retry delay told to callers while the time of recovery is unknown.
constexpr duration unknown_return = std::chrono::milliseconds(1000);

/// Remaining time of something that began at `since` and typically takes `typical`; nothing if it is unknown.
std::optional<duration> remaining(const std::optional<instant>& since, duration typical, instant now)
{
    if (!since || now - *since > longest_change) {
        return std::nullopt;
    }
    return std::max(typical - (now - *since), least_remaining);
}

} // namespace

std::optional<duration> expected_wait(const wait_prospects& prospects)
{
    if (prospects->needs_leader && !prospects->leader_known) {
        return prospects->leader_lost ? remaining(prospects->leader_lost, typical_change, prospects->now)
                                      : remaining(prospects->searched_since, typical_search, prospects->now);
    }
    if (prospects->connections == 0) {
        return std::nullopt;
    }
    const auto rounds = static_cast<std::int64_t>(prospects->ahead / prospects->connections);
    return prospects->service_time * rounds;
}

bool worth_waiting(const wait_prospects& prospects)
{
    const auto wait = expected_wait(prospects);
    const bool for_leader = prospects->needs_leader && !prospects->leader_known;
    const instant limit = for_leader ? prospects->deadline : std::min(prospects->target, prospects->deadline);
    return wait && prospects->now + *wait + prospects->service_time <= limit;
}

duration retry_after(const wait_prospects& prospects)
{
    return expected_wait(prospects).value_or(unknown_return);
}

} // namespace citronfall
