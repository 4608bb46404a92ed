#include "dispatch/statement_dispatcher.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Safety margin: a read relies on positions that are this much fresher than its staleness bound demands. A position is
/// dated by the time at which its statement was sent; the staleness of a read counts from its first byte, which arrived
/// before the read was decoded.
constexpr duration staleness_margin = std::chrono::milliseconds(50);

/// Idle connections that a candidate needs so that choose_member() admits it, the leader included.
constexpr std::size_t connections_for_choice = 2;

/// Assumed response time before the first answer of a service.
constexpr duration default_latency = std::chrono::milliseconds(20);

} // namespace

std::optional<min_read_position> statement_dispatcher::min_position_of(const statement_task& task, instant now) const
{
    const route& matched_route = task.request->matched_route;
    if (matched_route->consistency == read_consistency::primary) {
        return std::nullopt;
    }
    const position_history& primary_positions = hooks_.service(matched_route->service).primary_positions;
    const auto seen = primary_positions.lowest_since(now - matched_route->max_staleness + staleness_margin);
    if (!seen) {
        return std::nullopt;
    }
    const auto& own = task.request->newest_own_commit;
    if (matched_route->consistency == read_consistency::read_your_writes && own &&
        (*own)->position > (*seen)->position) {
        return *own;
    }
    return min_read_position{{.position = (*seen)->position, .known_since = (*seen)->sent_at}};
}

bool statement_dispatcher::needs_leader(const statement_task& task, instant now) const
{
    if (task.request->writes || task.request->kind == transaction_step::opens_transaction) {
        return true;
    }
    return !min_position_of(task, now);
}

bool statement_dispatcher::try_place(statement_task& task, instant now)
{
    if (needs_leader(task, now)) {
        return place_on_leader(task, now);
    }
    return place_on_any(task, *min_position_of(task, now), now);
}

bool statement_dispatcher::place_on_leader(statement_task& task, instant now)
{
    const std::string& service = task.request->matched_route->service;
    const auto& leader = hooks_.service(service).leadership.leader();
    if (!leader || !pool_.accepts_statements(*leader, now)) {
        return false;
    }
    const connection_number connection = pool_.acquire(
        *leader, {.tenant = task.request->tenant, .values = task.request->values, .waiting = waiting(service)}, now);
    if (connection == 0) {
        return false;
    }
    task.on_leader = true;
    task.min_position.reset();
    start_attempt(task, *leader, connection, now);
    return true;
}

std::vector<placement_candidate>
statement_dispatcher::candidates(const statement_task& task, const min_read_position& min_position, instant now) const
{
    const std::string& service = task.request->matched_route->service;
    service_state& known = hooks_.service(service);
    const duration typical = typical_latency(service, now);
    std::vector<placement_candidate> list;
    for (const std::string& id : pool_.members_of(service)) {
        if (!pool_.accepts_statements(id, now)) {
            continue;
        }
        const pooled_member& each = *pool_.member(id);
        const bool leads = known.leadership.leader() == id;
        // The leader's log contains every position that it or this daemon has observed.
        const bool likely_holds = leads || known.replica_lags[id].likely_holds(min_position, now);
        list.push_back(placement_candidate{{.member = id,
                                            .leads = leads,
                                            .draining = each.entry->draining,
                                            .has_min_position = likely_holds,
                                            .refused = task.excluded.contains(id),
                                            .local = each.entry->data_center == data_center_,
                                            .warming_up = now - each.first_seen_at < each.entry->warm_up_left,
                                            .reachability = each.health.reachability(),
                                            .idle = pool_.idle_connections(id, task.request->tenant),
                                            .running = each.running,
                                            .slots = each.entry->slots,
                                            .latency = each.latency.at(now, typical)}});
    }
    return list;
}

bool statement_dispatcher::place_on_any(statement_task& task, const min_read_position& min_position, instant now)
{
    const auto list = candidates(task, min_position, now);
    const auto chosen = choose_member(list, hooks_.random);
    const acquire_options wanted{.tenant = task.request->tenant,
                                 .values = task.request->values,
                                 .waiting = waiting(task.request->matched_route->service)};
    if (!chosen) {
        open_for(task, list, now);
        return false;
    }
    const connection_number connection = pool_.acquire(*chosen, wanted, now);
    if (connection == 0) {
        return false;
    }
    task.on_leader = false;
    task.min_position = min_position;
    start_attempt(task, *chosen, connection, now);
    return true;
}

/// No suitable connection is idle: asks for one more wherever the budget allows it. A tenant's statement asks for one
/// at the best member only, because other tenants cannot use the connections that it would leave unused.
void statement_dispatcher::open_for(const statement_task& task, const std::vector<placement_candidate>& list,
                                    instant now)
{
    const std::string& tenant = task.request->tenant;
    const std::size_t queued = waiting(task.request->matched_route->service);
    if (tenant.empty()) {
        for (const placement_candidate& each : list) {
            if (each->reachability != member_reachability::silent && each->reachability != member_reachability::down &&
                !each->draining) {
                pool_.open_if_none_idle(each->member, tenant, queued, now);
            }
        }
        return;
    }
    std::vector<placement_candidate> reachable;
    for (const placement_candidate& each : list) {
        if (pool_.is_opening(each->member, tenant)) {
            return;
        }
        reachable.push_back(with(each, [](placement_candidate_fields& fields) {
            fields.idle = std::max(fields.idle, connections_for_choice);
        }));
    }
    if (const auto best = choose_member(reachable, hooks_.random)) {
        pool_.open_if_none_idle(*best, tenant, queued, now);
    }
}

void statement_dispatcher::start_attempt(statement_task& task, const std::string& member, connection_number connection,
                                         instant now)
{
    task.member = member;
    task.connection = connection;
    ++task.attempts;
    queues_[task.request->matched_route->service].erase(
        {task.request->matched_route->priority, task.deadline, task.number});
    fire(task, event::placed, nullptr, now);
}

duration statement_dispatcher::typical_latency(const std::string& service, instant now) const
{
    duration lowest = duration::max();
    for (const std::string& id : pool_.members_of(service)) {
        const pooled_member& each = *pool_.member(id);
        if (each.latency.measured()) {
            lowest = std::min(lowest, each.latency.at(now, default_latency));
        }
    }
    return lowest == duration::max() ? default_latency : lowest;
}

wait_conditions statement_dispatcher::wait_conditions_of(const statement_task& task, std::size_t queued_ahead,
                                                         instant now) const
{
    const std::string& service = task.request->matched_route->service;
    const service_state& known = hooks_.service(service);
    const leadership_view& leadership = known.leadership;
    const auto min_position = min_position_of(task, now);
    const bool on_leader = needs_leader(task, now);
    // The positions of the members' logs do not matter to a statement that only the leader can serve.
    const auto list = candidates(task, min_position.value_or(min_read_position{}), now);
    std::size_t connections = 0;
    duration service_time = duration::max();
    for (const placement_candidate& each : list) {
        const bool reachable =
            each->reachability == member_reachability::reachable || each->reachability == member_reachability::unknown;
        const bool can_serve = on_leader ? each->leads : each->has_min_position && !each->refused;
        if (reachable && can_serve) {
            const bool shared = each->leads && !on_leader; // The leader gets such reads one at a time.
            connections += shared ? 1 : std::max<std::size_t>(pool_.member(each->member)->all.size(), 1);
            service_time = std::min(service_time, each->latency);
        }
    }
    return wait_conditions{
        {.now = now,
         .target = task.waited_for_leader ? task.deadline : task.arrived + task.request->matched_route->target_latency,
         .deadline = task.deadline,
         .service_time = connections == 0 ? default_latency : service_time,
         .queued_ahead = queued_ahead,
         .connections = connections,
         .needs_leader = on_leader || connections == 0,
         .leader_known = leadership.leader().has_value(),
         .leader_lost_at = leadership.lost_since(),
         .leader_searched_since = known.leader_searched_since}};
}

} // namespace citronfall
