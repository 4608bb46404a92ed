#include "pool/member_pool.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Assumed time of an answer if no member of the service has answered yet.
constexpr duration default_latency = std::chrono::milliseconds(20);

} // namespace

bool member_pool::pace_allows(const std::string& id, bool only_this, instant now) const
{
    const pooled_member* target = member(id);
    if (target == nullptr || !target->pace.ramping()) {
        return true;
    }
    const std::vector<std::string>& all = members_of(target->entry->service);
    const bool has_others = std::any_of(all.begin(), all.end(), [&](const std::string& each) {
        return each != id && members_.at(each).health.reachability() == member_reachability::reachable &&
               accepts_statements(each, now);
    });
    return only_this || !has_others ? target->pace.allows_only_choice(target->running, now)
                                    : target->pace.allows(target->running, now);
}

/// How the other reachable members of the service answer. The slowest of them counts, as they serve different
/// statements.
pace_reference member_pool::others_of(const pooled_member& target, instant now) const
{
    pace_reference others;
    for (const std::string& id : members_of(target.entry->service)) {
        const pooled_member& each = members_.at(id);
        if (&each == &target || each.pace.ramping() || !each.latency.measured() ||
            each.health.reachability() != member_reachability::reachable) {
            continue;
        }
        others.latency = std::max(others.latency.value_or(duration{}), each.latency.at(now, default_latency));
        others.refused_share = std::max(others.refused_share, each.pace.refused_share(now));
    }
    return others;
}

/// What was measured before tells nothing of a member that has started or recovered since.
void member_pool::start_ramp(pooled_member& target, instant now)
{
    const std::string reason = std::exchange(target.has_started, false) ? "started" : "recovered";
    target.latency = {};
    target.pace.begin({.slots = target.entry->slots,
                       .holders = target.holders,
                       .position = target.position,
                       .typical_latency = others_of(target, now).latency.value_or(default_latency)},
                      now);
    paused_[target.entry->id] = target.pace.next_send();
    ++ramps_total_;
    hooks_.log("member_ramp_started", "member=" + target.entry->id + " reason=" + reason +
                                          " allowance=" + std::to_string(target.pace.allowance()) +
                                          " holders=" + std::to_string(target.holders));
}

void member_pool::observe_pace(pooled_member& target, pace_signal signal, duration latency, instant now)
{
    const bool ramping = target.pace.ramping();
    target.pace.observe(signal, latency, others_of(target, now), now);
    if (ramping && !target.pace.ramping()) {
        paused_.erase(target.entry->id);
        hooks_.log("member_ramp_ended",
                   "member=" + target.entry->id + " allowance=" + std::to_string(target.pace.allowance()));
    } else if (ramping) {
        paused_[target.entry->id] = target.pace.next_send();
    }
}

/// Reports idle connections again to members whose pause is over.
void member_pool::resume_paused(instant now)
{
    std::vector<std::string> resumed;
    for (const auto& [id, until] : paused_) {
        if (now >= until) {
            resumed.push_back(id);
        }
    }
    for (const std::string& id : resumed) {
        paused_.erase(id);
        const auto found = members_.find(id);
        if (found != members_.end() && !found->second.idle.empty()) {
            hooks_.idle(id, now);
        }
    }
}

} // namespace citronfall
