#include "pool/member_pool.h"

#include <algorithm>

namespace citronfall {

connection_number member_pool::acquire(const std::string& member, const acquire_options& options, instant now)
{
    const auto found = members_.find(member);
    if (found == members_.end()) {
        return 0;
    }
    pooled_member& target = found->second;
    const connection_number chosen = choose_idle(target, options);
    if (chosen == 0) {
        target.waiting = options.waiting;
        open_for(target, options.tenant.value_or(std::string{}), now);
        return 0;
    }
    pooled_connection& pooled = connections_.at(chosen);
    fire(pooled, event::acquire, now);
    pooled.lost = options.lost;
    return chosen;
}

/// The idle connection that needs the least setup; 0 if the tenant has none.
connection_number member_pool::choose_idle(const pooled_member& target, const acquire_options& options) const
{
    connection_number any = 0;
    connection_number clean = 0;
    for (const connection_number number : target.idle) {
        const pooled_connection& each = connections_.at(number);
        if (options.tenant && each.tenant != *options.tenant) {
            continue;
        }
        if (each.values == options.values) {
            return number;
        }
        any = any == 0 ? number : any;
        clean = clean == 0 && each.values.empty() ? number : clean;
    }
    return clean != 0 ? clean : any;
}

void member_pool::open_if_none_idle(const std::string& member, const std::string& tenant, std::size_t waiting,
                                    instant now)
{
    const auto found = members_.find(member);
    if (found != members_.end() && idle_connections(member, tenant) == 0) {
        found->second.waiting = waiting;
        open_for(found->second, tenant, now);
    }
}

/// Opens a connection of the tenant. If the budget is used up, it takes the place of another tenant's idle connection.
void member_pool::open_for(pooled_member& target, const std::string& tenant, instant now)
{
    if (!tenant.empty() && is_opening(target.entry->id, tenant)) {
        return;
    }
    connection_demand smaller = demand(target);
    if (smaller.open > 0 && !may_open(smaller, now)) {
        --smaller.open;
        if (now >= target.next_attempt && may_open(smaller, now)) {
            close_longest_idle(target, tenant, now);
        }
    }
    open(target, tenant, now);
}

/// Closes the connection that has been idle for the longest time, of those that belong to another tenant.
void member_pool::close_longest_idle(const pooled_member& target, const std::string& kept_tenant, instant now)
{
    pooled_connection* longest = nullptr;
    for (const connection_number number : target.idle) {
        pooled_connection& each = connections_.at(number);
        if (each.tenant != kept_tenant && (longest == nullptr || each.idle_since < longest->idle_since)) {
            longest = &each;
        }
    }
    if (longest != nullptr) {
        fire(*longest, event::discard, now);
    }
}

std::size_t member_pool::idle_connections(const std::string& member, const std::string& tenant) const
{
    const pooled_member* target = this->member(member);
    if (target == nullptr) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(target->idle.begin(), target->idle.end(),
                      [&](connection_number each) { return connections_.at(each).tenant == tenant; }));
}

bool member_pool::is_opening(const std::string& member, const std::string& tenant) const
{
    const pooled_member* target = this->member(member);
    return target != nullptr && target->opening > 0 &&
           std::any_of(target->all.begin(), target->all.end(), [&](connection_number number) {
               const pooled_connection& each = connections_.at(number);
               return each.tenant == tenant && each.state == program_->initial();
           });
}

} // namespace citronfall
