#include "quota/quota_holder.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Longest time to come back that a caller is told.
constexpr duration max_retry_delay = std::chrono::seconds(1);

/// Fraction of a part's capacity that is kept for operations that wait; operations ahead get what is above it.
constexpr double kept_for_waiting = 0.5;

} // namespace

void quota_holder::configure(std::uint64_t version, const std::map<std::string, quota_limit>& limits, instant now)
{
    version_ = version;
    limits_ = limits;
    for (auto each = parts_.begin(); each != parts_.end();) {
        part_state& state = each->second;
        if (state.version > version) {
            ++each;
            continue;
        }
        const auto limit = limits.find(each->first.first);
        if (limit == limits.end()) {
            each = parts_.erase(each);
            continue;
        }
        set_limit(state, limit->second, version, now);
        ++each;
    }
    begin_parts(now);
}

void quota_holder::hold(const std::map<std::uint32_t, std::uint64_t>& groups, instant now)
{
    if (groups == groups_) {
        return;
    }
    for (std::uint32_t group = 0; group < quota_group_count; ++group) {
        const auto before = groups_.find(group);
        const auto after = groups.find(group);
        const bool held_before = before != groups_.end();
        const bool held_after = after != groups.end();
        if (held_before == held_after && (!held_after || before->second == after->second)) {
            continue;
        }
        // A part that is used again begins anew.
        std::erase_if(parts_,
                      [group](const auto& each) { return quota_group(each.first.first, each.first.second) == group; });
        options_.log(held_after ? "quota_group_held" : "quota_group_given_up",
                     "group=" + std::to_string(group) +
                         (held_after ? " lock=" + std::to_string(after->second) : std::string{}));
    }
    groups_ = groups;
    begin_parts(now);
}

/// Begins the parts that are held and not in use yet, so that they fill up before the first demand.
void quota_holder::begin_parts(instant now)
{
    for (const auto& [tenant, limit] : limits_) {
        for (std::uint32_t part = 0; part < quota_part_count; ++part) {
            if (groups_.contains(quota_group(tenant, part)) && !parts_.contains({tenant, part})) {
                begin_part({tenant, part}, limit, version_, now);
            }
        }
    }
}

quota_holder::part_state& quota_holder::begin_part(const part_key& key, const quota_limit& limit, std::uint64_t version,
                                                   instant now)
{
    part_state& state = parts_[key];
    set_limit(state, limit, version, now);
    state.bucket.restart(divide_quota(limit, options_.rule, 0)->first_level, now);
    return state;
}

quota_grant quota_holder::answer(const quota_request& request, instant now)
{
    quota_grant_fields fields{.number = request->number};
    fields.allowances.reserve(request->demands.size());
    for (const quota_demand& each : request->demands) {
        fields.allowances.push_back(answer(each, request->version, now));
    }
    return quota_grant{std::move(fields)};
}

quota_allowance quota_holder::answer(const quota_demand& demand, std::uint64_t version, instant now)
{
    quota_allowance_fields fields{.tenant = demand->tenant, .part = demand->part};
    if (demand->part >= quota_part_count || !groups_.contains(quota_group(demand->tenant, demand->part))) {
        fields.held = false;
        return quota_allowance{std::move(fields)};
    }
    part_state* found = find(demand, version, now);
    if (found == nullptr) {
        fields.granted = demand->waiting; // The configuration in force has no limit for the tenant any more.
        return quota_allowance{std::move(fields)};
    }
    part_state& state = *found;
    fields.granted = state.bucket.take(demand->waiting, now);
    if (fields.granted < demand->waiting) {
        fields.retry_after = decline(state, demand->waiting - fields.granted, now);
    } else {
        const double spare = state.bucket.level(now) - state.bucket.capacity() * kept_for_waiting;
        const auto ahead = std::min(demand->ahead, static_cast<std::uint32_t>(std::max(spare, 0.0)));
        fields.granted += state.bucket.take(ahead, now);
    }
    state.granted_total += fields.granted;
    return quota_allowance{std::move(fields)};
}

/// The state of a held part, or null if the tenant has no limit. The requesting daemon may have a newer configuration,
/// with other limits or tenants.
quota_holder::part_state* quota_holder::find(const quota_demand& demand, std::uint64_t version, instant now)
{
    const part_key key{demand->tenant, demand->part};
    const quota_limit asked{{.rate_per_s = demand->rate_per_s, .burst = demand->burst}};
    const auto found = parts_.find(key);
    if (found == parts_.end()) {
        return version > version_ ? &begin_part(key, asked, version, now) : nullptr;
    }
    if (version > std::max(version_, found->second.version)) {
        set_limit(found->second, asked, version, now);
    }
    return &found->second;
}

void quota_holder::set_limit(part_state& state, const quota_limit& limit, std::uint64_t version, instant now) const
{
    state.version = version;
    state.limit = limit;
    const quota_parts parts = divide_quota(limit, options_.rule, 0);
    state.bucket.configure(parts->granted_rate_per_s, parts->granted_capacity, now);
}

/// Notes operations that got no grant. Returns when the next one can be granted, after those declined before it.
duration quota_holder::decline(part_state& state, std::uint32_t operations, instant now)
{
    state.declined_total += operations;
    const duration next = state.bucket.time_to_next(now);
    if (next > max_retry_delay) {
        return max_retry_delay;
    }
    const duration backlog = std::max(state.backlog_until - now, duration{});
    const double rate = state.limit->rate_per_s / quota_part_count;
    const auto added = std::chrono::duration_cast<duration>(std::chrono::duration<double>(operations / rate));
    state.backlog_until = now + std::min(backlog + added, max_retry_delay);
    return std::clamp(next + backlog, duration(1), max_retry_delay);
}

std::vector<held_quota> quota_holder::held(instant now) const
{
    std::vector<held_quota> list;
    for (const auto& [key, state] : parts_) {
        list.push_back({.tenant = key.first,
                        .part = key.second,
                        .rate_per_s = state.limit->rate_per_s,
                        .level = state.bucket.level(now),
                        .granted_total = state.granted_total,
                        .declined_total = state.declined_total});
    }
    return list;
}

} // namespace citronfall
