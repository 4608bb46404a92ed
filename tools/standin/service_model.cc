#include "standin/service_model.h"

#include <algorithm>
#include <utility>

namespace citronfall::standin {
namespace {

error failure(error_kind kind)
{
    return error{{.kind = kind, .detail = "stand-in"}};
}

/// Text after the first blank; empty if there is none.
std::string after_blank(const std::string& text)
{
    const auto blank = text.find(' ');
    return blank == std::string::npos ? std::string{} : text.substr(blank + 1);
}

std::string before_blank(const std::string& text)
{
    return text.substr(0, text.find(' '));
}

} // namespace

service_model::service_model(service_model_options options) : options_(std::move(options))
{
    for (const std::string& id : options_.members) {
        members_[id] = member_state{.leads = id == options_.members.front()};
    }
}

std::optional<error_kind> service_model::open(const std::string& id, member_session session)
{
    const auto found = members_.find(id);
    if (found == members_.end()) {
        return error_kind::wrong_member;
    }
    if (found->second.connections.size() >= options_.max_connections) {
        return error_kind::too_many_connections;
    }
    found->second.connections[session] = {};
    return std::nullopt;
}

void service_model::close(const std::string& id, member_session session)
{
    members_.at(id).connections.erase(session);
}

void service_model::crash(const std::string& id)
{
    member_state& target = members_.at(id);
    target.up = false;
    target.connections.clear();
}

std::optional<std::string> service_model::leader() const
{
    for (const auto& [id, each] : members_) {
        if (each.leads && each.up) {
            return id;
        }
    }
    return std::nullopt;
}

std::size_t service_model::open_transactions(const std::string& id) const
{
    const auto& all = members_.at(id).connections;
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [](const auto& each) { return each.second.transaction != 0; }));
}

member_reply_fields service_model::answer(const std::string& id, member_session session, const member_query& query,
                                          instant now)
{
    advance(now);
    member_state& target = members_.at(id);
    connection_state& on = target.connections[session];
    member_reply_fields reply{.receipt = "-"};
    if (query->request_id.empty() && !parts_of(on, query->body)) {
        answer_own(target, on, query->body, reply, now);
    } else {
        run(id, on, session, query, reply, now);
    }
    reply.state = transaction_state::none;
    if (on.transaction != 0) {
        reply.state = on.failed ? transaction_state::failed : transaction_state::open;
    }
    reply.position = held_by(target, now);
    return reply;
}

/// Executes the daemon's own statements.
void service_model::answer_own(member_state& target, connection_state& on, const member_statement& body,
                               member_reply_fields& reply, instant now)
{
    if (std::holds_alternative<begin_read_write>(body)) {
        begin(target, on, std::nullopt, reply, now);
    } else if (const auto* reading = std::get_if<begin_read_only>(&body)) {
        begin(target, on, reading->after, reply, now);
    } else if (std::holds_alternative<roll_back>(body)) {
        on.transaction = 0;
        on.changes.clear();
    } else if (std::holds_alternative<reset_connection>(body)) {
        on.values.clear();
        on.prepared.clear();
    } else if (const auto* value = std::get_if<set_value>(&body)) {
        on.values[value->name] = value->value;
    } else if (const auto* shape = std::get_if<prepare_statement>(&body)) {
        on.prepared[shape->name] = shape->shape->writes;
    } else {
        if (std::holds_alternative<step_down>(body)) {
            target.led_to = held_by(target, now);
            target.leads = false;
        } else if (std::holds_alternative<pause_replication>(body) && !target.leads) {
            target.paused_at = now;
        } else if (std::holds_alternative<resume_replication>(body)) {
            target.paused_at.reset();
        }
        reply.rows = {options_.status_row(target.leads, held_by(target, now))};
    }
}

void service_model::begin(member_state& target, connection_state& on, const std::optional<log_position>& after,
                          member_reply_fields& reply, instant now)
{
    if (!after && !target.leads) {
        reply.failure = failure(error_kind::not_primary);
    } else if (after && held_by(target, now) < *after) {
        reply.failure = failure(error_kind::replica_behind);
    } else {
        on.transaction = ++last_transaction_;
        on.failed = false;
        on.may_write = !after;
        on.changes.clear();
    }
}

std::optional<service_model::caller_statement_parts> service_model::parts_of(const connection_state& on,
                                                                             const member_statement& body)
{
    if (const auto* sent = std::get_if<forwarded_statement>(&body)) {
        const std::string verb = before_blank((*sent)->text);
        const std::string rest = after_blank((*sent)->text);
        return caller_statement_parts{.writes = verb == "WRITE",
                                      .commits = verb == "COMMIT",
                                      .item = before_blank(rest),
                                      .data = after_blank(rest)};
    }
    if (const auto* prepared = std::get_if<execute_prepared>(&body)) {
        const auto shape = on.prepared.find((*prepared)->name);
        return caller_statement_parts{.writes = shape != on.prepared.end() && shape->second,
                                      .item = before_blank((*prepared)->argument),
                                      .data = after_blank((*prepared)->argument)};
    }
    return std::nullopt;
}

std::optional<log_position> service_model::required(const member_statement& body)
{
    if (const auto* sent = std::get_if<forwarded_statement>(&body)) {
        return (*sent)->after;
    }
    const auto* prepared = std::get_if<execute_prepared>(&body);
    return prepared == nullptr ? std::nullopt : (*prepared)->after;
}

void service_model::run(const std::string& id, connection_state& on, member_session session, const member_query& query,
                        member_reply_fields& reply, instant now)
{
    member_state& target = members_.at(id);
    const auto* prepared = std::get_if<execute_prepared>(&query->body);
    const auto wanted = parts_of(on, query->body);
    const auto after = required(query->body);
    if (on.transaction != 0 && on.failed) {
        reply.failure = failure(error_kind::bad_request);
        return;
    }
    if (prepared != nullptr && !on.prepared.contains((*prepared)->name)) {
        reply.failure = failure(error_kind::unknown_prepared_name);
    } else if (after && held_by(target, now) < *after) {
        reply.failure = failure(error_kind::replica_behind);
    } else {
        const std::uint64_t transaction = on.transaction;
        const log_position held = held_by(target, now);
        apply(target, on, *wanted, reply, now);
        if (!reply.failure) {
            reply.receipt = "run-" + std::to_string(runs_.size());
            runs_.push_back({.receipt = reply.receipt,
                             .request_id = query->request_id,
                             .member = id,
                             .session = session,
                             .transaction = transaction,
                             .at = now,
                             .held = held,
                             .rows = reply.rows,
                             .values = on.values});
        }
    }
    on.failed = on.transaction != 0 && reply.failure.has_value();
}

void service_model::apply(member_state& target, connection_state& on, const caller_statement_parts& wanted,
                          member_reply_fields& reply, instant now)
{
    const bool in_plain = on.transaction != 0 && on.may_write;
    const bool keeps_nothing = wanted.commits && on.changes.empty();
    if (!target.leads && (wanted.writes || (in_plain && !keeps_nothing))) {
        reply.failure = failure(error_kind::not_primary);
        return;
    }
    if (wanted.commits) {
        if (!on.changes.empty()) {
            commit(on.changes, now);
        }
        on.changes.clear();
        on.transaction = 0;
    } else if (wanted.writes && on.transaction != 0) {
        on.changes[wanted.item] = wanted.data;
    } else if (wanted.writes) {
        commit({{wanted.item, wanted.data}}, now);
    } else {
        const auto own = on.changes.find(wanted.item);
        reply.rows = {own != on.changes.end() ? own->second : value_at(wanted.item, held_by(target, now))};
    }
}

log_position service_model::held_by(const member_state& target, instant now) const
{
    if (target.leads) {
        return position_;
    }
    const instant seen = std::min(target.paused_at.value_or(now), now) - options_.replica_lag;
    for (auto each = log_.rbegin(); each != log_.rend(); ++each) {
        if (!each->rolled_back && each->at <= seen) {
            return std::max(each->position, target.led_to);
        }
    }
    return std::max(log_position{{.term = 1, .index = 0}}, target.led_to);
}

std::string service_model::value_at(const std::string& item, const log_position& held) const
{
    const auto changes = changes_of_.find(item);
    if (changes != changes_of_.end()) {
        for (auto each = changes->second.rbegin(); each != changes->second.rend(); ++each) {
            if (!log_[*each].rolled_back && log_[*each].position <= held) {
                return log_[*each].changes.at(item);
            }
        }
    }
    return "none";
}

void service_model::commit(const std::map<std::string, std::string>& changes, instant now)
{
    position_ = log_position{{.term = position_->term, .index = position_->index + 1}};
    for (const auto& [item, value] : changes) {
        changes_of_[item].push_back(log_.size());
    }
    log_.push_back({.position = position_, .at = now, .changes = changes});
}

bool service_model::promote(const std::string& id, instant now)
{
    const auto found = members_.find(id);
    if (found == members_.end() || !found->second.up) {
        return false;
    }
    promotions_.push_back(id);
    if (!found->second.leads) {
        due_.push_back({.at = now + options_.promotion_time, .member = id, .received = {}});
    }
    return true;
}

void service_model::advance(instant now)
{
    while (!due_.empty() && due_.front().at <= now) {
        const due_promotion order = due_.front();
        due_.erase(due_.begin());
        member_state& next = members_.at(order.member);
        if (next.leads || !next.up) {
            continue;
        }
        const log_position held = held_by(next, order.at);
        roll_back_after(held);
        for (auto& [id, each] : members_) {
            each.leads = id == order.member;
            each.led_to = std::min(each.led_to, held);
        }
        next.paused_at.reset();
        position_ = log_position{{.term = position_->term + 1, .index = held->index}};
        log_.push_back({.position = position_, .at = order.at, .changes = {}}); // Marks the start of the new term.
    }
}

void service_model::roll_back_after(const log_position& held)
{
    for (log_entry& each : log_) {
        each.rolled_back = each.rolled_back || each.position > held;
    }
}

} // namespace citronfall::standin
