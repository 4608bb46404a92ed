#include "router/router.h"

#include <algorithm>
#include <array>
#include <utility>

namespace citronfall {
namespace {

/// Maximum number of members of a group that routing considers: the number of bits of read_progress::refused.
constexpr std::size_t max_members = 32;

constexpr duration unreachable = duration::max();

/// Cost added to members of other data centres, about one round trip between data centres (2 to 3 ms). It comes on top
/// of the measured round trip, so that short queues in the own data centre do not move reads to another one.
constexpr duration data_center_penalty = std::chrono::milliseconds(2);

/// Cost added to the primary, because all writes and linearizable reads need its slots. Other reads use the primary
/// only if it is expected to answer sooner than the replicas by more than this.
constexpr duration primary_penalty = std::chrono::milliseconds(5);

/// Candidates whose cost exceeds the lowest one by at most this much count as equal; less than the jitter of a network
/// round trip.
constexpr duration equal_cost_margin = std::chrono::microseconds(500);

/// A request without a suitable member is routed again after this time, even if no new status arrives.
constexpr duration reroute_interval = std::chrono::milliseconds(20);

/// A member whose latest status is older than this many status intervals is used only if no other one is suitable.
constexpr int max_status_age_intervals = 5;

/// Replication progress since the latest status is extrapolated over at most this many status intervals, because the
/// replica may have stalled.
constexpr int max_extrapolated_intervals = 2;

/// A new measurement has the weight 1/8 in a smoothed value, as in the usual round-trip estimators.
constexpr int smoothing = 8;

duration smoothed(duration present, duration measured)
{
    return present == duration::zero() ? measured : present + (measured - present) / smoothing;
}

} // namespace

void router::configure(const operator_config& config)
{
    routing_ = config->routing;
    std::map<std::string, group_state> present = std::exchange(groups_, {});
    for (const auto& [name, declared] : config->groups) {
        group_state& group = groups_[name];
        if (const auto earlier = present.find(name); earlier != present.end()) {
            group = std::move(earlier->second);
        }
        std::vector<member_state> before = std::exchange(group.members, {});
        group.slots = std::max<std::int64_t>(declared->slots_per_member, 1);
        group.primary.reset();
        for (const member_config& member : declared->members) {
            const member_key key{{.group = name, .member = member->name}};
            const auto same =
                std::find_if(before.begin(), before.end(), [&](const member_state& each) { return each.key == key; });
            member_state record;
            if (same != before.end()) {
                record = *same;
            }
            record.key = key;
            record.same_data_center = member->data_center == options_.data_center;
            record.leaving = config->leaving.contains(key);
            if (record.status_known && record.status->role == member_role::primary &&
                record.status->term == group.term) {
                group.primary = group.members.size();
            }
            group.members.push_back(std::move(record));
        }
    }
}

void router::refresh(member_state& member, const status_observation& observation)
{
    if (member.status_known && observation->sent_at > member.sent_at &&
        observation->status->term == member.status->term) {
        const auto elapsed = static_cast<double>((observation->sent_at - member.sent_at).count());
        const auto gained = observation->status->applied_index >= member.status->applied_index
                                ? observation->status->applied_index - member.status->applied_index
                                : 0;
        const double apply_rate = static_cast<double>(gained) / elapsed;
        member.apply_rate =
            member.apply_rate < 0 ? apply_rate : member.apply_rate + (apply_rate - member.apply_rate) / smoothing;
    }
    if (!member.status_known || observation->sent_at > member.sent_at) {
        member.round_trip = smoothed(member.round_trip, observation->received_at - observation->sent_at);
    }
    member.status_known = true;
    member.sent_at = observation->sent_at;
    if (member.status != observation->status) {
        member.status = observation->status;
    }
}

void router::observe(const group_view& view)
{
    const auto found = groups_.find(view->group);
    if (found == groups_.end()) {
        return;
    }
    group_state& group = found->second;
    std::vector<duration> round_trips;
    for (member_state& member : group.members) {
        const auto latest = view->latest.find(member.key->member);
        if (latest != view->latest.end()) {
            refresh(member, latest->second);
            round_trips.push_back(member.round_trip);
        }
    }
    group.term = view.term();
    group.primary.reset();
    for (std::size_t i = 0; i < group.members.size(); ++i) {
        const member_state& member = group.members[i];
        if (member.status_known && member.status->role == member_role::primary && member.status->term == group.term) {
            group.primary = i;
            group.history = member.status->history;
        }
    }
    if (round_trips.size() >= view.majority()) {
        std::sort(round_trips.begin(), round_trips.end());
        group.confirmation_time = round_trips[view.majority() - 1];
    }
    if (const auto round = view.completed_round()) {
        group.rounds.add(*round);
    }
}

route_decision router::route_read(const std::string& name, const read_requirement& requirement,
                                  const read_progress& progress, instant now) const
{
    const group_state* group = find(name);
    if (group == nullptr) {
        return route_decision{{.wait = reroute_interval}};
    }
    const auto required = minimum_position(name, requirement, now);
    const bool primary_only = requirement->linearizable || !required;
    const instant heard_since = now - routing_->status_interval * max_status_age_intervals;
    std::array<duration, max_members> costs{};
    std::array<duration, max_members> silent{};
    costs.fill(unreachable);
    silent.fill(unreachable);
    duration primary_answer = unreachable;
    duration replica_wait = unreachable;
    duration replica_answer = unreachable;
    for (std::size_t i = 0; i < std::min(group->members.size(), max_members); ++i) {
        const member_state& member = group->members[i];
        const bool primary = group->primary == i;
        if (!member.status_known || member.leaving || member.status->term != group->term ||
            ((progress.refused >> i) & 1U) != 0 || (primary_only && !primary)) {
            continue;
        }
        duration expected = expected_cost(*group, member);
        if (primary) {
            expected += group->confirmation_time;
            primary_answer = member.sent_at >= heard_since ? expected : unreachable;
            expected += primary_penalty;
        }
        const bool covers = primary || member.status.covers(required.value_or(log_position{}));
        const duration wait = covers ? duration::zero() : time_to_apply(member, *required, now);
        if (!covers) {
            expected += member.round_trip; // If the estimate is wrong, the refusal costs another round trip.
        }
        if (wait == duration::zero()) {
            (member.sent_at >= heard_since ? costs : silent)[i] = expected;
        } else if (wait <= routing_->replica_wait && wait + expected < replica_answer &&
                   member.sent_at >= heard_since) {
            replica_wait = wait;
            replica_answer = wait + expected;
        }
    }
    auto chosen = choose(*group, costs.data());
    const bool replica_ready = chosen && *chosen != group->primary;
    if (!replica_ready && !progress.waited && replica_answer < primary_answer) {
        return route_decision{{.wait = replica_wait}};
    }
    if (!chosen) {
        chosen = choose(*group, silent.data());
    }
    if (!chosen) {
        return route_decision{{.wait = reroute_interval}};
    }
    return route_decision{{.member = group->members[*chosen].key,
                           .member_bit = 1U << *chosen,
                           .primary = *chosen == group->primary,
                           .wait = duration::zero()}};
}

route_decision router::route_write(const std::string& name) const
{
    const group_state* group = find(name);
    if (group == nullptr || !group->primary || group->members[*group->primary].leaving) {
        return route_decision{{.wait = reroute_interval}};
    }
    return route_decision{{.member = group->members[*group->primary].key,
                           .member_bit = 1U << (*group->primary % max_members),
                           .primary = true,
                           .wait = duration::zero()}};
}

std::optional<member_key> router::primary(const std::string& name) const
{
    const group_state* group = find(name);
    if (group == nullptr || !group->primary) {
        return std::nullopt;
    }
    return group->members[*group->primary].key;
}

std::optional<log_position> router::minimum_position(const std::string& name, const read_requirement& requirement,
                                                     instant now) const
{
    const group_state* group = find(name);
    if (group == nullptr) {
        return std::nullopt;
    }
    const log_position session_position = group->history.clamp(requirement->session_position);
    if (!requirement->max_staleness) {
        return session_position;
    }
    const status_round* round = group->rounds.oldest_since(now - *requirement->max_staleness);
    if (round == nullptr) {
        return std::nullopt;
    }
    return std::max(session_position, group->history.clamp((*round)->position));
}

bool router::accepts_requests(const member_key& member) const
{
    const group_state* group = find(member->group);
    return group != nullptr && std::any_of(group->members.begin(), group->members.end(),
                                           [&](const auto& each) { return each.key == member && !each.leaving; });
}

void router::change_load(const member_key& member, int change)
{
    if (member_state* record = find(member)) {
        record->load = std::max<std::int64_t>(record->load + change, 0);
    }
}

void router::record_service_time(const member_key& member, duration taken)
{
    if (member_state* record = find(member)) {
        record->service_time = smoothed(record->service_time, std::max(taken - record->round_trip, duration::zero()));
    }
}

const router::group_state* router::find(const std::string& group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? nullptr : &found->second;
}

router::member_state* router::find(const member_key& member)
{
    const auto group = groups_.find(member->group);
    if (group == groups_.end()) {
        return nullptr;
    }
    auto& members = group->second.members;
    const auto found =
        std::find_if(members.begin(), members.end(), [&](const member_state& each) { return each.key == member; });
    return found == members.end() ? nullptr : &*found;
}

duration router::expected_cost(const group_state& group, const member_state& member) const
{
    const bool remote = routing_->prefer_data_center && !member.same_data_center;
    return member.load * member.service_time / group.slots + member.round_trip +
           (remote ? data_center_penalty : duration::zero());
}

/// Expected time until a member has applied `required`, which it had not at its latest status. The status is assumed to
/// be as old as its call, which is the oldest it can be.
duration router::time_to_apply(const member_state& member, const log_position& required, instant now) const
{
    if (required->index <= member.status->applied_index || member.apply_rate <= 0) {
        return unreachable; // The logs have diverged, or the member makes no progress.
    }
    const double gap = static_cast<double>(required->index - member.status->applied_index);
    const double total = gap / member.apply_rate;
    constexpr double longest = 1e12;
    const duration assumed = std::min(now - member.sent_at, routing_->status_interval * max_extrapolated_intervals);
    const duration remaining = duration(static_cast<std::int64_t>(std::min(total, longest))) - assumed;
    return std::max(remaining, duration::zero());
}

/// Picks two random members among the nearly equal ones and returns the one with less load. All daemons compute nearly
/// the same costs, so always taking the cheapest member would send all of them to the same one.
std::optional<std::size_t> router::choose(const group_state& group, const duration* costs) const
{
    const std::size_t count = std::min(group.members.size(), max_members);
    const duration best = count == 0 ? unreachable : *std::min_element(costs, costs + count);
    if (best == unreachable) {
        return std::nullopt;
    }
    std::array<std::uint8_t, max_members> equal{};
    std::size_t size = 0;
    for (std::size_t i = 0; i < count; ++i) {
        if (costs[i] <= best + equal_cost_margin) {
            equal[size++] = static_cast<std::uint8_t>(i);
        }
    }
    if (size == 1) {
        return equal[0];
    }
    const std::uint64_t random = options_.random();
    const std::size_t first = (random & 0xffffffffU) % size;
    const std::size_t second = (first + 1 + (random >> 32U) % (size - 1)) % size;
    const std::size_t a = equal[first];
    const std::size_t b = equal[second];
    return group.members[b].load < group.members[a].load ? b : a;
}

} // namespace citronfall
