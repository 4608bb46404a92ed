#include "pool/member_pool.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Interval of attempts to open the first connection to a member while the budget does not allow one.
constexpr duration connection_check_interval = std::chrono::milliseconds(50);

} // namespace

/// Makes all decisions due that the new configuration may have changed.
void member_pool::check_members(instant now)
{
    connection_checks_.clear();
    for (const auto& [id, each] : members_) {
        if (needs_connection(each)) {
            connection_checks_[id] = now;
        }
        for (const connection_number number : each.idle) {
            connections_.at(number).surplus_check_armed = false; // A check that is armed may be too late.
            arm_surplus_check(connections_.at(number), now);
        }
    }
}

connection_demand member_pool::demand(const pooled_member& target) const
{
    return {.limit = target.limit,
            .daemons = target.holders,
            .is_holder = target.is_holder,
            .open = target.all.size(),
            .opening = target.opening,
            .waiting = target.waiting,
            .refused_at = target.refused_at,
            .refusals = target.refusals,
            .useful = target.pace.ramping() ? std::optional(target.pace.useful_connections()) : std::nullopt,
            .former_until = former_connections_until_};
}

/// Closes connections that have been idle for too long, or whose member is no longer registered.
void member_pool::close_surplus(instant now)
{
    while (const auto number = surplus_checks_.pop_due(now)) {
        pooled_connection* each = find(*number);
        if (each == nullptr) {
            continue;
        }
        each->surplus_check_armed = false;
        const pooled_member& target = members_.at(each->member);
        if (!target.idle.contains(*number)) {
            continue; // In use; a check is armed when it becomes idle.
        }
        const instant due = target.listed ? surplus_check_time(each->idle_since) : now;
        if (now < due) {
            arm_surplus_check(*each, due);
        } else if (!target.listed || should_close(demand(target), each->idle_since, now)) {
            fire(*each, event::discard, now);
        }
    }
}

/// Whether the member is registered and has no connection, although this daemon keeps connections to it.
bool member_pool::needs_connection(const pooled_member& target)
{
    return target.listed && target.all.empty() && target.is_holder;
}

void member_pool::keep_one_open(instant now)
{
    for (auto each = connection_checks_.begin(); each != connection_checks_.end();) {
        const auto found = members_.find(each->first);
        if (now < each->second) {
            ++each;
            continue;
        }
        if (found != members_.end() && needs_connection(found->second)) {
            open(found->second, {}, now);
        }
        if (found != members_.end() && needs_connection(found->second)) {
            each->second = std::max(found->second.next_attempt, now + connection_check_interval);
            ++each;
        } else {
            each = connection_checks_.erase(each);
        }
    }
}

void member_pool::open(pooled_member& target, const std::string& tenant, instant now)
{
    if (!target.listed || now < target.next_attempt || !may_open(demand(target), now)) {
        return;
    }
    const connection_number number = ++last_connection_;
    pooled_connection& opened = connections_[number];
    opened.number = number;
    opened.member = target.entry->id;
    opened.tenant = tenant;
    opened.state = program_->initial();
    opened.opened_at = now;
    target.all.insert(number);
    ++target.opening;
    ++opened_total_;
    hooks_.send(open_member_connection{{.connection = number,
                                        .address = target.entry->address,
                                        .service = target.entry->service,
                                        .member = target.entry->id,
                                        .tenant = tenant}});
}

void member_pool::arm_surplus_check(pooled_connection& pooled, instant due)
{
    if (!std::exchange(pooled.surplus_check_armed, true)) {
        surplus_checks_.arm(due, pooled.number);
    }
}

} // namespace citronfall
