#include "pool/member_pool.h"

#include "chart/embedded_program.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citronfall {
namespace {

/// Timeout of the daemon's own statements. Members answer them at once, except for a status query, which waits for a
/// slot. Without the timeout a lost answer would occupy the connection for ever, and members accept few connections.
constexpr duration internal_answer_timeout = std::chrono::milliseconds(800);

/// Length of session values and prepared shapes above which a connection is reset before it becomes idle.
constexpr std::size_t max_idle_bytes = 64 * 1024;

/// Members that are listed later than this after the first ones have started since.
constexpr duration first_list_time = std::chrono::seconds(2);

} // namespace

result<std::unique_ptr<member_pool>> member_pool::make(member_pool_hooks hooks, duration draining_grace)
{
    std::unique_ptr<member_pool> pool(new member_pool(std::move(hooks), draining_grace));
    if (const auto bound = pool->bind(); !ok(bound)) {
        return error_of(bound);
    }
    return pool;
}

result<done> member_pool::bind()
{
    auto made = make_embedded_program<event, context>("member_connection", bindings());
    if (!ok(made)) {
        return error_of(made);
    }
    program_.emplace(take(std::move(made)));
    return done{};
}

chart_bindings<member_pool::context> member_pool::bindings()
{
    return {.events = {"opened", "acquire", "release", "rolled_back", "ended", "discard"},
            .guards = {{"in_transaction",
                        [](const context& each) {
                            return each.pooled.transaction != transaction_state::none;
                        }},
                       {"keeps_much",
                        [](const context& each) {
                            return each.pooled.value_bytes + each.pooled.prepared_bytes > max_idle_bytes;
                        }}},
            .actions = {
                {"make_idle",
                 [](context& each) {
                     each.pool.make_idle(each.pooled, each.now);
                 }},
                {"leave_idle",
                 [](context& each) {
                     each.pool.members_.at(each.pooled.member).idle.erase(each.pooled.number);
                 }},
                {"send_rollback",
                 [](context& each) {
                     const auto rolled_back = [&pool = each.pool, number = each.pooled.number](
                                                  const exchange_outcome& outcome, instant now) {
                         pooled_connection* pooled = pool.find(number);
                         if (pooled != nullptr && std::holds_alternative<member_reply>(outcome)) {
                             const bool clean = pooled->transaction == transaction_state::none;
                             pool.fire(*pooled, clean ? event::rolled_back : event::discard, now);
                         }
                     };
                     each.pool.send_internal(each.pooled.number, {roll_back{}}, rolled_back, each.now);
                 }},
                {"send_reset",
                 [](context& each) {
                     const auto ended = [&pool = each.pool,
                                         number = each.pooled.number](const exchange_outcome& outcome, instant now) {
                         pool.on_reset(number, outcome, now);
                     };
                     each.pool.send_internal(each.pooled.number, {reset_connection{}}, ended, each.now);
                 }},
                {"close_socket",
                 [](context& each) {
                     each.pool.hooks_.send(close_member_connection{{.connection = each.pooled.number}});
                 }},
                {"forget",
                 [](context& each) {
                     each.pool.forget(each.pooled, each.now);
                 }},
            }};
}

/// A connection that kept much has been reset, and becomes idle.
void member_pool::on_reset(connection_number number, const exchange_outcome& outcome, instant now)
{
    pooled_connection* pooled = find(number);
    const auto* reply = std::get_if<member_reply>(&outcome);
    if (pooled == nullptr || reply == nullptr) {
        return;
    }
    pooled->values.clear();
    pooled->prepared.clear();
    pooled->value_bytes = 0;
    pooled->prepared_bytes = 0;
    fire(*pooled, (*reply)->failure ? event::discard : event::rolled_back, now);
}

void member_pool::fire(pooled_connection& pooled, event what, instant now)
{
    context each{.pool = *this, .pooled = pooled, .now = now};
    pooled.state = program_->fire(pooled.state, what, each).state;
}

void member_pool::configure(const std::map<std::string, member_registration>& entries,
                            const std::map<std::string, connection_share>& shares, instant now)
{
    for (auto& [id, each] : members_) {
        each.listed = entries.contains(id);
    }
    listed_.clear();
    if (!entries.empty() && !first_members_at_) {
        first_members_at_ = now;
    }
    for (const auto& [id, entry] : entries) {
        listed_[entry->service].push_back(id);
        const auto [place, added] = members_.try_emplace(id);
        pooled_member& each = place->second;
        const bool restarted =
            !added && (each.entry->started_at_ms != entry->started_at_ms || each.entry->address != entry->address);
        if (added || restarted) {
            each.first_seen_at = now;
            each.next_attempt = now;
            each.has_started = restarted || now - first_members_at_.value_or(now) > first_list_time;
        }
        each.entry = entry;
        if (!entry->draining) {
            each.draining_since.reset();
        } else if (added) {
            each.draining_since = now - draining_grace_; // It is unknown for how long it has been draining.
        } else if (!each.draining_since) {
            each.draining_since = now;
        }
        const auto found = shares.find(entry->service);
        const connection_share share = found == shares.end() ? connection_share{} : found->second;
        each.limit = share.limit;
        each.holders = std::max<std::size_t>(share.holders, 1);
        each.is_holder = share.is_holder;
        each.position = share.position;
    }
    std::erase_if(members_, [](const auto& each) { return !each.second.listed && each.second.all.empty(); });
    check_members(now);
}

void member_pool::erase_unused_member(const std::string& id)
{
    const auto found = members_.find(id);
    if (found != members_.end() && !found->second.listed && found->second.all.empty()) {
        members_.erase(found);
        connection_checks_.erase(id);
    }
}

void member_pool::tick(instant now)
{
    for (const connection_number number : std::exchange(closed_, {})) {
        const auto closed = connections_.find(number);
        if (closed == connections_.end()) {
            continue;
        }
        const std::string member = closed->second.member;
        connections_.erase(closed);
        erase_unused_member(member);
    }
    close_overdue(now);
    close_surplus(now);
    keep_one_open(now);
    resume_paused(now);
}

std::optional<instant> member_pool::next() const
{
    std::optional<instant> due;
    for (const auto& [id, check] : connection_checks_) {
        due = due ? std::min(*due, check) : check;
    }
    for (const auto& [id, until] : paused_) {
        due = due ? std::min(*due, until) : until;
    }
    return due;
}

/// Closes connections on which the answer to a statement of the daemon itself is overdue.
void member_pool::close_overdue(instant now)
{
    while (const auto number = answer_timeouts_.pop_due(now)) {
        pooled_connection* each = find(*number);
        if (each == nullptr) {
            continue;
        }
        each->answer_timeout_armed = false;
        if (each->exchanges.empty()) {
            continue;
        }
        const exchange& oldest = each->exchanges.front();
        const instant due = oldest.counts_as_load
                                ? now + internal_answer_timeout
                                : std::max(oldest.sent_at, silence_counts_from_) + internal_answer_timeout;
        if (now < due) {
            arm_answer_timeout(*each, due);
            continue;
        }
        hooks_.log("answer_overdue", "member=" + each->member + " connection=" + std::to_string(*number));
        hooks_.send(close_member_connection{{.connection = *number}});
        on_closed(member_connection_closed{{.connection = *number, .end = connection_end_reason::reset}}, now);
    }
}

void member_pool::send(connection_number connection, member_query query, exchange hooks)
{
    pooled_connection* pooled = find(connection);
    assert(pooled != nullptr);
    if (hooks.counts_as_load) {
        ++members_.at(pooled->member).running;
    }
    pooled->exchanges.push_back(std::move(hooks));
    hooks_.send(send_queries{{.connection = connection, .queries = {std::move(query)}}});
}

void member_pool::send_internal(connection_number connection, const std::vector<member_statement>& statements,
                                const exchange_hook& ended, instant now)
{
    pooled_connection* pooled = find(connection);
    assert(pooled != nullptr);
    std::vector<member_query> queries;
    for (const member_statement& each : statements) {
        queries.push_back(member_query{{.request_id = {}, .body = each}});
        pooled->exchanges.push_back({.sent_at = now, .ended = ended});
    }
    arm_answer_timeout(*pooled, now + internal_answer_timeout);
    hooks_.send(send_queries{{.connection = connection, .queries = std::move(queries)}});
}

void member_pool::release(connection_number connection, instant now)
{
    if (pooled_connection* pooled = find(connection)) {
        pooled->lost = nullptr;
        fire(*pooled, event::release, now);
    }
}

void member_pool::discard(connection_number connection, instant now)
{
    if (pooled_connection* pooled = find(connection)) {
        fire(*pooled, event::discard, now);
    }
}

pooled_connection* member_pool::find(connection_number connection)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end() || program_->is_final(found->second.state)) {
        return nullptr;
    }
    return &found->second;
}

const pooled_member* member_pool::member(const std::string& id) const
{
    const auto found = members_.find(id);
    return found == members_.end() ? nullptr : &found->second;
}

bool member_pool::accepts_statements(const std::string& id, instant now) const
{
    const pooled_member* target = member(id);
    if (target == nullptr || !target->listed) {
        return false;
    }
    return !target->draining_since || now - *target->draining_since < draining_grace_;
}

const std::vector<std::string>& member_pool::members_of(const std::string& service) const
{
    static const std::vector<std::string> none;
    const auto found = listed_.find(service);
    return found == listed_.end() ? none : found->second;
}

std::size_t member_pool::open_connections() const
{
    std::size_t open = 0;
    for (const auto& [id, each] : members_) {
        open += each.all.size() - each.opening;
    }
    return open;
}

std::string member_pool::describe(const pooled_member& target) const
{
    std::map<std::string, std::size_t> states;
    for (const connection_number number : target.all) {
        const pooled_connection& each = connections_.at(number);
        ++states[program_->state_name(each.state) + (each.exchanges.empty() ? "" : "_waiting")];
    }
    std::string text = "member=" + target.entry->id +
                       " reach=" + member_reachability_name(target.health.reachability()) +
                       " open=" + std::to_string(target.all.size()) + " running=" + std::to_string(target.running) +
                       " waiting=" + std::to_string(target.waiting);
    for (const auto& [state, count] : states) {
        text += " " + state + "=" + std::to_string(count);
    }
    return text;
}

std::optional<instant> member_pool::oldest_exchange_sent_at(const std::string& id) const
{
    const pooled_member* target = member(id);
    std::optional<instant> oldest;
    if (target == nullptr) {
        return oldest;
    }
    for (const connection_number number : target->all) {
        const auto& exchanges = connections_.at(number).exchanges;
        if (!exchanges.empty() && (!oldest || exchanges.front().sent_at < *oldest)) {
            oldest = exchanges.front().sent_at;
        }
    }
    return oldest;
}

void member_pool::arm_answer_timeout(pooled_connection& pooled, instant due)
{
    if (!std::exchange(pooled.answer_timeout_armed, true)) {
        answer_timeouts_.arm(due, pooled.number);
    }
}

void member_pool::make_idle(pooled_connection& pooled, instant now)
{
    pooled_member& target = members_.at(pooled.member);
    pooled.idle_since = now;
    pooled.lost = nullptr;
    target.idle.insert(pooled.number);
    target.waiting = 0;
    arm_surplus_check(pooled, target.listed ? surplus_check_time(now) : now);
}

void member_pool::forget(pooled_connection& pooled, instant now)
{
    pooled_member& target = members_.at(pooled.member);
    for (const exchange& each : pooled.exchanges) {
        target.running -= each.counts_as_load ? 1 : 0;
    }
    if (std::any_of(pooled.exchanges.begin(), pooled.exchanges.end(),
                    [](const exchange& each) { return each.counts_as_load; })) {
        observe_pace(target, pace_signal::unanswered, {}, now);
    }
    pooled.exchanges.clear();
    target.opening -= pooled.state == program_->initial() ? 1 : 0;
    target.all.erase(pooled.number);
    closed_.push_back(pooled.number);
    if (needs_connection(target)) {
        connection_checks_[pooled.member] = target.next_attempt;
    }
}

void member_pool::unanswered(const std::string& id, instant sent_at, instant now)
{
    const auto found = members_.find(id);
    if (found == members_.end()) {
        return;
    }
    const member_reachability before = found->second.health.reachability();
    found->second.health.unanswered(sent_at);
    update_reachability(found->second, before, now);
}

void member_pool::update_reachability(pooled_member& target, member_reachability before, instant now)
{
    const member_reachability after = target.health.reachability();
    const bool was_lost = before == member_reachability::silent || before == member_reachability::down;
    if (was_lost && after == member_reachability::reachable) {
        start_ramp(target, now);
    }
    if (before != after) {
        hooks_.reachability_changed(target.entry->id, after, now);
    }
}

} // namespace citronfall
