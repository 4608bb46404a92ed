#include "caller_session/session_table.h"

#include "caller_session/kept_entry.h"
#include "caller_session/session_error.h"
#include "citronfall/error_table.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

std::string outcome_text(const std::optional<error>& failure)
{
    return failure ? std::string(error_row_for((*failure)->kind).name) : "done";
}

std::string value_or_empty(const result<std::string>& name)
{
    return ok(name) ? value_of(name) : std::string{};
}

} // namespace

void session_table::process(caller_session& session, const caller_statement& received, instant now)
{
    session.current = received;
    session.last_used = now;
    session.task_started = now;
    const parsed_statement& query = received->query;
    const bool begins = query->verb == statement_verb::begin || query->verb == statement_verb::begin_read_only;
    if (session.refuses_statements) {
        fire(session, event::grace_over, nullptr, now); // Rolls back an open transaction.
    }
    if (received->after_close_notice) {
        end_after_notice(session, now);
    } else if (begins && !idle(session)) {
        answer(session, session_error(error_kind::bad_request, "a transaction is already open"));
        send_answer(session, now);
    } else if ((session.refuses_statements || session.close_announced) && idle(session) &&
               (begins || runs_on_member(query))) {
        answer(session, shutdown_error());
        send_answer(session, now);
    } else if ((begins || idle(session)) && hooks_.find_route(session.database) == nullptr) {
        answer(session, session_error(error_kind::unknown_database, session.database));
        send_answer(session, now);
    } else if (!ok(tenant_of(session))) {
        refuse_withdrawn(session, now);
    } else if (begins) {
        fire(session, event::begin, nullptr, now);
    } else if (query->verb == statement_verb::rollback) {
        fire(session, event::roll_back, nullptr, now);
    } else if (!runs_on_member(query)) {
        process_local(session, query, now);
        send_answer(session, now);
    } else if (auto refusal = check_runnable(session, query)) {
        answer(session, std::move(refusal));
        send_answer(session, now);
    } else {
        fire(session, event::run, nullptr, now);
    }
}

/// Name of the session's tenant as of now. Within a transaction the route in force at its beginning counts.
result<std::string> session_table::tenant_of(const caller_session& session) const
{
    if (!hooks_.identify) {
        return std::string{};
    }
    const route* current =
        session.transaction_route ? &*session.transaction_route : hooks_.find_route(session.database);
    return current == nullptr ? std::string{} : hooks_.identify(*current, session.key);
}

/// Answers a statement of a caller whose key was withdrawn. Its transaction is rolled back, so a COMMIT or ROLLBACK is
/// answered as in any failed transaction.
void session_table::refuse_withdrawn(caller_session& session, instant now)
{
    hooks_.log("statement_refused", "id=" + (*session.current)->request_id +
                                        " session=" + std::to_string(session.number) + " reason=unknown_key");
    const statement_verb verb = (*session.current)->query->verb;
    const bool ends = verb == statement_verb::commit || verb == statement_verb::rollback;
    fire(session, event::key_withdrawn, nullptr, now);
    if (ends && !idle(session)) {
        fire(session, verb == statement_verb::commit ? event::run : event::roll_back, nullptr, now);
        return;
    }
    answer(session, session_error(error_kind::unknown_key, session.database));
    send_answer(session, now);
}

/// Ends the answer to a statement that crossed the notice of a close. It did not run, and no later one may: the caller
/// may have pipelined them as parts of one transaction.
void session_table::end_after_notice(caller_session& session, instant now)
{
    session.close_announced = true;
    if (idle(session)) {
        answer(session, shutdown_error());
        send_answer(session, now);
    } else {
        fire(session, event::roll_back, nullptr, now); // The transaction ended with the notice.
    }
}

/// Runs SET, PREPARE and DEALLOCATE, which change only the state of the session.
void session_table::process_local(caller_session& session, const parsed_statement& query, instant now)
{
    if (transaction_states_[static_cast<std::size_t>(session.state)] == transaction_state::failed) {
        answer(session, session_error(error_kind::bad_request, "the transaction has failed and must be rolled back"));
        return;
    }
    if (query->verb == statement_verb::deallocate) {
        const auto found = session.prepared.find(query->name);
        if (found == session.prepared.end()) {
            answer(session, session_error(error_kind::unknown_prepared_name, query->name));
            return;
        }
        session.kept_bytes -= kept_entry_bytes(found->first, found->second->shape);
        kept_.set(session.number, session.kept_bytes);
        session.prepared.erase(found);
        answer(session, std::nullopt);
        return;
    }
    answer(session, keep(session, query, now));
}

/// Keeps a session value or a prepared shape in place of an earlier one of the same name. Returns why it can't.
std::optional<error> session_table::keep(caller_session& session, const parsed_statement& query, instant now)
{
    const bool sets = query->verb == statement_verb::set;
    std::size_t replaced = 0;
    if (const auto value = session.values.find(query->name); sets && value != session.values.end()) {
        replaced = kept_entry_bytes(value->first, value->second);
    }
    if (const auto shape = session.prepared.find(query->name); !sets && shape != session.prepared.end()) {
        replaced = kept_entry_bytes(shape->first, shape->second->shape);
    }
    const std::size_t kept = session.kept_bytes - replaced + kept_entry_bytes(query->name, query->argument);
    if (!charge(session.number, session.kept_bytes, kept, now)) {
        hooks_.log("statement_refused", "id=" + (*session.current)->request_id +
                                            " session=" + std::to_string(session.number) +
                                            " reason=state_limit kept_bytes=" + std::to_string(session.kept_bytes));
        return session_error(error_kind::overloaded, "the session keeps too many values and prepared statements");
    }
    session.kept_bytes = kept;
    if (sets) {
        session.values[query->name] = query->argument;
    } else {
        session.prepared[query->name] = prepared_shape{{.shape = query->argument, .writes = query->prepares_write}};
    }
    return std::nullopt;
}

/// Charges a session for what it keeps. While all sessions together keep too much, the one that keeps the most gives
/// way. Returns false, and leaves the charge of `before`, if that is this one.
bool session_table::charge(session_number number, std::size_t before, std::size_t bytes, instant now)
{
    kept_.set(number, bytes);
    while (const auto worst = kept_.worst_offender()) {
        if (*worst == number) {
            kept_.set(number, before);
            return false;
        }
        give_way(*worst, now);
    }
    return true;
}

/// Closes a session because it keeps the most.
void session_table::give_way(session_number number, instant now)
{
    if (const auto delayed = delayed_starts_.extract(number); !delayed.empty()) {
        refuse(delayed.mapped().started, error_kind::overloaded);
        return;
    }
    close(number, session_end_reason::state_limit,
          session_error(error_kind::overloaded, "the session keeps too many values and prepared statements"), now);
}

/// Why the statement must not be sent to a member; nothing if it may be sent.
std::optional<error> session_table::check_runnable(const caller_session& session, const parsed_statement& query) const
{
    if (query->verb == statement_verb::commit && idle(session)) {
        return session_error(error_kind::bad_request, "no transaction is open");
    }
    bool writes = query->verb == statement_verb::write;
    if (query->verb == statement_verb::execute) {
        const auto shape = session.prepared.find(query->name);
        if (shape == session.prepared.end()) {
            return session_error(error_kind::unknown_prepared_name, query->name);
        }
        writes = shape->second->writes;
    }
    if (writes && !idle(session) && session.read_only) {
        return session_error(error_kind::not_primary, "the transaction only reads");
    }
    return std::nullopt;
}

void session_table::run(caller_session& session, transaction_step kind, instant now)
{
    const parsed_statement& query = (*session.current)->query;
    task_request_fields fields{.session = session.number,
                               .request_id = (*session.current)->request_id,
                               .tenant = value_or_empty(tenant_of(session)),
                               .query = query,
                               .matched_route = session.transaction_route ? *session.transaction_route
                                                                          : *hooks_.find_route(session.database),
                               .kind = kind,
                               .writes = query->verb == statement_verb::write,
                               .wrote_before = session.wrote,
                               .proves_lead = kind == transaction_step::in_transaction && session.on_leader,
                               .newest_own_commit = session.newest_own_commit,
                               .values = session.values,
                               .connection = session.connection};
    if (query->verb == statement_verb::execute) {
        fields.shape = session.prepared.at(query->name);
        fields.writes = (*fields.shape)->writes;
    }
    session.wrote = session.wrote || (fields.writes && kind != transaction_step::autocommit);
    const session_number number = session.number;
    const task_number task = hooks_.submit(task_request{std::move(fields)}, now);
    // submit() may already have answered the statement, and the session may be processing the next one.
    const auto found = sessions_.find(number);
    if (found != sessions_.end() && found->second.current) {
        found->second.task = task;
    }
}

void session_table::renumber(session_number session, task_number before, task_number after)
{
    const auto found = sessions_.find(session);
    if (found != sessions_.end() && found->second.task == before) {
        found->second.task = after;
    }
}

void session_table::finished(const task_request& request, const task_outcome& outcome, instant now)
{
    const auto found = sessions_.find(request->session);
    if (found == sessions_.end()) {
        if (outcome->connection != 0) {
            hooks_.release(outcome->connection, now);
        }
        return;
    }
    caller_session& session = found->second;
    session.task = 0;
    hooks_.answered(request->matched_route, outcome, now - session.task_started);
    hooks_.log("request_answered",
               "id=" + request->request_id + " session=" + std::to_string(session.number) +
                   " database=" + session.database + " outcome=" + outcome_text(outcome->failure) +
                   (outcome->failure ? " detail=\"" + (*outcome->failure)->detail + "\"" : std::string{}) +
                   " member=" + (outcome->member.empty() ? std::string("none") : outcome->member) +
                   " took_us=" + std::to_string((now - session.task_started).count()));
    switch (outcome->state) {
    case transaction_state::none:
        fire(session, event::answered_ended, &outcome, now);
        return;
    case transaction_state::open:
        fire(session, event::answered_open, &outcome, now);
        return;
    case transaction_state::failed:
        fire(session, event::answered_failed, &outcome, now);
        return;
    }
}

void session_table::pass_answer(caller_session& session, const task_outcome& outcome, instant now)
{
    static_cast<void>(now);
    if (!outcome->failure) {
        note_commit(session, outcome);
    }
    session.answer = statement_reply_fields{.session = session.number,
                                            .rows = outcome->rows,
                                            .receipt = outcome->receipt,
                                            .failure = outcome->failure,
                                            .position = outcome->position};
}

/// Records the log position if the answered statement committed a write; later read_your_writes reads of the session
/// must include it.
void session_table::note_commit(caller_session& session, const task_outcome& outcome)
{
    const parsed_statement& query = (*session.current)->query;
    bool writes = query->verb == statement_verb::write;
    if (query->verb == statement_verb::execute) {
        const auto shape = session.prepared.find(query->name);
        writes = shape != session.prepared.end() && shape->second->writes;
    }
    const bool committed = (query->verb == statement_verb::commit && session.wrote) ||
                           (writes && outcome->state == transaction_state::none);
    if (committed && outcome->position) {
        session.newest_own_commit =
            min_read_position{{.position = *outcome->position, .known_since = outcome->sent_at}};
    }
}

void session_table::answer(caller_session& session, std::optional<error> failure)
{
    session.answer = statement_reply_fields{.session = session.number, .failure = std::move(failure)};
}

void session_table::send_answer(caller_session& session, instant now)
{
    statement_reply_fields fields = *std::exchange(session.answer, std::nullopt);
    fields.state = transaction_states_[static_cast<std::size_t>(session.state)];
    fields.failure_sent = (*session.current)->after_close_notice;
    const session_number number = session.number;
    session.current.reset();
    session.last_used = now;
    const bool closing = session.close_when_idle && idle(session) && session.waiting.empty();
    hooks_.reply(statement_reply{std::move(fields)});
    if (closing) {
        offer_close(session, session_end_reason::shutdown, shutdown_error());
    }
    process_next(number, now);
}

void session_table::process_next(session_number number, instant now)
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end() || found->second.current || found->second.waiting.empty()) {
        return;
    }
    const caller_statement next = found->second.waiting.front();
    found->second.waiting.pop_front();
    process(found->second, next, now);
}

} // namespace citronfall
