#include "standin/service_model.h"

#include <algorithm>
#include <utility>

namespace citronfall::standin {
namespace {

/// Longest time of an empty transaction with which a daemon probes the leader.
constexpr duration max_probe_time = std::chrono::milliseconds(10);

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
    member_state& member = members_.at(id);
    member.up = false;
    member.connections.clear();
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

std::size_t service_model::open_transactions(const std::string& id, instant now) const
{
    const auto& all = members_.at(id).connections;
    return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), [now](const auto& each) {
        const connection_state& connection = each.second;
        const bool may_be_probe = !connection.ran_statement && now - connection.begun_at < max_probe_time;
        return connection.transaction != 0 && !may_be_probe;
    }));
}

member_reply_fields service_model::answer(const std::string& id, member_session session, const member_query& query,
                                          instant now)
{
    advance(now);
    member_state& member = members_.at(id);
    connection_state& connection = member.connections[session];
    member_reply_fields reply{.receipt = "-"};
    if (query->request_id.empty() && !parse_statement(connection, query->body)) {
        execute_internal(member, connection, query->body, reply, now);
    } else {
        connection.ran_statement = true;
        run(id, connection, session, query, reply, now);
    }
    reply.state = transaction_state::none;
    if (connection.transaction != 0) {
        reply.state = connection.failed ? transaction_state::failed : transaction_state::open;
    }
    reply.position = received_position(member, now);
    return reply;
}

/// Executes the daemon's own statements.
void service_model::execute_internal(member_state& member, connection_state& connection, const member_statement& body,
                                     member_reply_fields& reply, instant now)
{
    if (std::holds_alternative<begin_read_write>(body)) {
        begin(member, connection, std::nullopt, reply, now);
    } else if (const auto* reading = std::get_if<begin_read_only>(&body)) {
        begin(member, connection, reading->after, reply, now);
    } else if (std::holds_alternative<roll_back>(body)) {
        connection.transaction = 0;
        connection.changes.clear();
    } else if (std::holds_alternative<reset_connection>(body)) {
        connection.values.clear();
        connection.prepared.clear();
    } else if (const auto* value = std::get_if<set_value>(&body)) {
        connection.values[value->name] = value->value;
    } else if (const auto* shape = std::get_if<prepare_statement>(&body)) {
        connection.prepared[shape->name] = shape->shape->writes;
    } else if (const auto* dropped = std::get_if<deallocate_statement>(&body)) {
        connection.prepared.erase(dropped->name);
    } else {
        if (const auto* order = std::get_if<step_down>(&body);
            order != nullptr && member.leads && order->term > committed_->term) {
            member.step_down_position = received_position(member, now);
            member.leads = false;
        } else if (const auto* pause = std::get_if<pause_replication>(&body);
                   pause != nullptr && !member.leads && pause->term > committed_->term) {
            member.paused_at = member.paused_at.value_or(now);
            member.paused_by = pause->term;
        } else if (std::holds_alternative<resume_replication>(body)) {
            member.paused_at.reset();
        }
        reply.rows = {
            options_.status_row(member.leads, received_position(member, now), member.paused_at ? member.paused_by : 0)};
    }
}

void service_model::begin(member_state& member, connection_state& connection, const std::optional<log_position>& after,
                          member_reply_fields& reply, instant now)
{
    if (!after && !member.leads) {
        reply.failure = failure(error_kind::not_primary);
    } else if (after && received_position(member, now) < *after) {
        reply.failure = failure(error_kind::replica_behind);
    } else {
        connection.transaction = ++last_transaction_;
        connection.begun_at = now;
        connection.ran_statement = false;
        connection.failed = false;
        connection.may_write = !after;
        connection.changes.clear();
    }
}

std::optional<service_model::parsed_statement> service_model::parse_statement(const connection_state& connection,
                                                                              const member_statement& body)
{
    if (const auto* sent = std::get_if<forwarded_statement>(&body)) {
        const std::string verb = before_blank((*sent)->text);
        const std::string rest = after_blank((*sent)->text);
        return parsed_statement{.writes = verb == "WRITE",
                                .commits = verb == "COMMIT",
                                .item = before_blank(rest),
                                .data = after_blank(rest)};
    }
    if (const auto* prepared = std::get_if<execute_prepared>(&body)) {
        const auto shape = connection.prepared.find((*prepared)->name);
        return parsed_statement{.writes = shape != connection.prepared.end() && shape->second,
                                .item = before_blank((*prepared)->argument),
                                .data = after_blank((*prepared)->argument)};
    }
    return std::nullopt;
}

std::optional<log_position> service_model::required_position(const member_statement& body)
{
    if (const auto* sent = std::get_if<forwarded_statement>(&body)) {
        return (*sent)->after;
    }
    const auto* prepared = std::get_if<execute_prepared>(&body);
    return prepared == nullptr ? std::nullopt : (*prepared)->after;
}

void service_model::run(const std::string& id, connection_state& connection, member_session session,
                        const member_query& query, member_reply_fields& reply, instant now)
{
    member_state& member = members_.at(id);
    const auto* prepared = std::get_if<execute_prepared>(&query->body);
    const auto statement = parse_statement(connection, query->body);
    const auto after = required_position(query->body);
    if (connection.transaction != 0 && connection.failed) {
        reply.failure = failure(error_kind::bad_request);
        return;
    }
    if (prepared != nullptr && !connection.prepared.contains((*prepared)->name)) {
        reply.failure = failure(error_kind::unknown_prepared_name);
    } else if (after && received_position(member, now) < *after) {
        reply.failure = failure(error_kind::replica_behind);
    } else {
        const std::uint64_t transaction = connection.transaction;
        const log_position held = received_position(member, now);
        apply(member, connection, *statement, reply, now);
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
                             .values = connection.values});
        }
    }
    connection.failed = connection.transaction != 0 && reply.failure.has_value();
}

void service_model::apply(member_state& member, connection_state& connection, const parsed_statement& statement,
                          member_reply_fields& reply, instant now)
{
    const bool in_write_transaction = connection.transaction != 0 && connection.may_write;
    const bool commits_nothing = statement.commits && connection.changes.empty();
    if (!member.leads && (statement.writes || (in_write_transaction && !commits_nothing))) {
        reply.failure = failure(error_kind::not_primary);
        return;
    }
    if (statement.commits) {
        if (!connection.changes.empty()) {
            commit(connection.changes, now);
        }
        connection.changes.clear();
        connection.transaction = 0;
    } else if (statement.writes && connection.transaction != 0) {
        connection.changes[statement.item] = statement.data;
    } else if (statement.writes) {
        commit({{statement.item, statement.data}}, now);
    } else {
        const auto uncommitted = connection.changes.find(statement.item);
        reply.rows = {uncommitted != connection.changes.end()
                          ? uncommitted->second
                          : value_at(statement.item, received_position(member, now))};
    }
}

log_position service_model::received_position(const member_state& member, instant now) const
{
    if (member.leads) {
        return committed_;
    }
    const instant received_until = std::min(member.paused_at.value_or(now), now) - options_.replica_lag;
    for (auto each = log_.rbegin(); each != log_.rend(); ++each) {
        if (!each->rolled_back && each->at <= received_until) {
            return std::max(each->position, member.step_down_position);
        }
    }
    return std::max(log_position{{.term = 1, .index = 0}}, member.step_down_position);
}

bool service_model::may_acknowledge(const log_position& position, instant now) const
{
    const auto received = [&](const auto& each) {
        return each.second.up && !each.second.leads && received_position(each.second, now) >= position;
    };
    return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), received)) >=
           options_.sync_replicas;
}

std::string service_model::value_at(const std::string& item, const log_position& held) const
{
    const auto changes = entries_by_item_.find(item);
    if (changes != entries_by_item_.end()) {
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
    committed_ = log_position{{.term = committed_->term, .index = committed_->index + 1}};
    for (const auto& [item, value] : changes) {
        entries_by_item_[item].push_back(log_.size());
    }
    log_.push_back({.position = committed_, .at = now, .changes = changes});
}

bool service_model::promote(const std::string& id, instant now)
{
    const auto found = members_.find(id);
    if (found == members_.end() || !found->second.up) {
        return false;
    }
    promotions_.push_back(id);
    if (!found->second.leads) {
        due_promotions_.push_back({.at = now + options_.promotion_time, .member = id, .received = {}});
    }
    return true;
}

void service_model::advance(instant now)
{
    while (!due_promotions_.empty() && due_promotions_.front().at <= now) {
        const due_promotion promotion = due_promotions_.front();
        due_promotions_.erase(due_promotions_.begin());
        member_state& new_leader = members_.at(promotion.member);
        if (new_leader.leads || !new_leader.up) {
            continue;
        }
        const log_position held = received_position(new_leader, promotion.at);
        roll_back_after(held);
        for (auto& [id, each] : members_) {
            each.leads = id == promotion.member;
            each.step_down_position = std::min(each.step_down_position, held);
        }
        new_leader.paused_at.reset();
        committed_ = log_position{{.term = committed_->term + 1, .index = held->index}};
        log_.push_back({.position = committed_, .at = promotion.at, .changes = {}}); // Marks the start of the new term.
    }
}

void service_model::roll_back_after(const log_position& held)
{
    for (log_entry& each : log_) {
        each.rolled_back = each.rolled_back || each.position > held;
    }
}

} // namespace citronfall::standin
