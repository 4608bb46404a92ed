#include "caller_session/session_table.h"

#include "caller_session/kept_entry.h"
#include "caller_session/session_error.h"
#include "chart/embedded_program.h"
#include "citronfall/error_table.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Limit on the pipelined statements of a session. Callers send one statement at a time; the limit bounds memory.
constexpr std::size_t max_pipelined = 32;

/// Longest time for which the start of a session waits for the daemon to become ready. A daemon that has just started
/// knows its configuration within a fraction of it; callers wait two seconds for the answer.
constexpr duration max_start_delay = std::chrono::milliseconds(1000);

/// Limit on the starts that wait, which bounds memory.
constexpr std::size_t max_delayed_starts = 2048;

} // namespace

result<std::unique_ptr<session_table>> session_table::make(session_table_hooks hooks)
{
    std::unique_ptr<session_table> made(new session_table(std::move(hooks)));
    if (const auto bound = made->bind(); !ok(bound)) {
        return error_of(bound);
    }
    return made;
}

result<done> session_table::bind()
{
    auto made = make_embedded_program<event, context>("session", bindings());
    if (!ok(made)) {
        return error_of(made);
    }
    program_.emplace(take(std::move(made)));
    const chart& subject = program_->subject();
    transaction_states_.assign(subject.states().size(), transaction_state::none);
    for (const char* name : {"announced", "running", "open", "lost", "failed"}) {
        const auto id = subject.find(name);
        if (!ok(id)) {
            return error_of(id);
        }
        transaction_states_[static_cast<std::size_t>(value_of(id))] =
            std::string_view(name) == "failed" ? transaction_state::failed : transaction_state::open;
    }
    return done{};
}

chart_bindings<session_table::context> session_table::bindings()
{
    const auto rolled_back = [](context& each) {
        each.table.answer(each.session, session_error(error_kind::transaction_lost, "the transaction was rolled back"));
    };
    return {.events = {"begin", "run", "roll_back", "answered_open", "answered_ended", "answered_failed",
                       "connection_lost", "idle_too_long", "grace_over", "key_withdrawn", "left"},
            .guards = {{"is_commit",
                        [](const context& each) {
                            return (*each.session.current)->query->verb == statement_verb::commit;
                        }}},
            .actions = {
                {"open_transaction",
                 [](context& each) {
                     caller_session& session = each.session;
                     session.transaction_route = *each.table.hooks_.find_route(session.database);
                     session.read_only = (*session.current)->query->verb == statement_verb::begin_read_only;
                     session.wrote = false;
                 }},
                {"end_transaction",
                 [](context& each) {
                     each.session.transaction_route.reset();
                     each.table.pinned_.erase(std::exchange(each.session.connection, 0));
                 }},
                {"answer_done",
                 [](context& each) {
                     each.table.answer(each.session, std::nullopt);
                 }},
                {"answer_rolled_back", rolled_back},
                {"answer_malformed",
                 [](context& each) {
                     each.table.answer(
                         each.session,
                         session_error(error_kind::bad_request, "the transaction has failed and must be rolled back"));
                 }},
                {"run_single",
                 [](context& each) {
                     each.table.run(each.session, transaction_step::autocommit, each.now);
                 }},
                {"run_first",
                 [](context& each) {
                     const auto kind = each.session.read_only ? transaction_step::opens_read_transaction
                                                              : transaction_step::opens_transaction;
                     each.table.run(each.session, kind, each.now);
                 }},
                {"run_next",
                 [](context& each) {
                     each.table.run(each.session, transaction_step::in_transaction, each.now);
                 }},
                {"cancel_statement",
                 [](context& each) {
                     each.table.hooks_.cancel(std::exchange(each.session.task, 0), each.now);
                 }},
                {"pass_answer",
                 [](context& each) {
                     each.table.pass_answer(each.session, *each.outcome, each.now);
                 }},
                {"keep_connection",
                 [](context& each) {
                     each.session.connection = (*each.outcome)->connection;
                     each.session.on_leader = (*each.outcome)->leads;
                     each.table.pinned_[each.session.connection] = each.session.number;
                 }},
                {"drop_connection",
                 [](context& each) {
                     each.table.pinned_.erase(std::exchange(each.session.connection, 0));
                 }},
                {"give_connection_back",
                 [](context& each) {
                     const connection_number connection = std::exchange(each.session.connection, 0);
                     each.table.pinned_.erase(connection);
                     each.table.hooks_.release(connection, each.now);
                 }},
                {"note_connection_lost",
                 [](context& each) {
                     each.table.hooks_.log("transaction_lost",
                                           "session=" + std::to_string(each.session.number) +
                                               " connection=" + std::to_string(each.session.connection));
                 }},
                {"note_idle",
                 [](context& each) {
                     each.table.hooks_.log("transaction_idle",
                                           "session=" + std::to_string(each.session.number) + " idle_ms=" +
                                               std::to_string((each.now - each.session.last_used).count() / 1000));
                 }},
                {"forget",
                 [](context& each) {
                     each.table.pinned_.erase(each.session.connection);
                 }},
            }};
}

void session_table::fire(caller_session& session, event what, const task_outcome* outcome, instant now)
{
    context each{.table = *this, .session = session, .outcome = outcome, .now = now};
    session.state = program_->fire(session.state, what, each).state;
    if (session.answer) {
        send_answer(session, now);
    }
}

void session_table::handle(const caller_event& message, instant now)
{
    if (const auto* started = std::get_if<caller_connected>(&message)) {
        start(*started, now);
    } else if (const auto* received = std::get_if<caller_statement>(&message)) {
        receive(*received, now);
    } else if (const auto* malformed = std::get_if<malformed_caller_message>(&message)) {
        refuse_malformed(*malformed, now);
    } else if (const auto* left = std::get_if<caller_disconnected>(&message)) {
        leave(*left, now);
    }
}

void session_table::start(const caller_connected& started, instant now)
{
    const auto reason = hooks_.refuse_start(now);
    const std::size_t kept = kept_entry_bytes(started->database, started->key);
    if (reason == error_kind::not_ready && delayed_starts_.size() < max_delayed_starts &&
        charge(started->session, 0, kept, now)) {
        delayed_starts_[started->session] = {.started = started, .since = now, .statements = {}};
        return;
    }
    if (reason) {
        refuse(started, *reason);
        return;
    }
    if (hooks_.find_route(started->database) == nullptr) {
        refuse(started, error_kind::unknown_database);
        return;
    }
    if (hooks_.identify && !ok(hooks_.identify(*hooks_.find_route(started->database), started->key))) {
        refuse(started, error_kind::unknown_key);
        return;
    }
    if (!charge(started->session, 0, kept, now)) {
        refuse(started, error_kind::overloaded);
        return;
    }
    caller_session& session = sessions_[started->session];
    session.number = started->session;
    session.kept_bytes = kept;
    session.database = started->database;
    session.key = started->key;
    session.state = program_->initial();
    session.last_used = now;
    hooks_.reply(session_ready{{.session = started->session}});
}

void session_table::refuse(const caller_connected& started, error_kind kind)
{
    kept_.set(started->session, 0);
    hooks_.log("session_refused", "session=" + std::to_string(started->session) + " database=" + started->database +
                                      " error=" + std::string(error_row_for(kind).name));
    hooks_.reply(session_close{{.session = started->session, .failure = session_error(kind, started->database)}});
}

void session_table::admit_delayed_starts(instant now)
{
    if (delayed_starts_.empty()) {
        return;
    }
    const bool waits = hooks_.refuse_start(now) == error_kind::not_ready;
    for (auto& [session, delayed] : std::exchange(delayed_starts_, {})) {
        if (waits && now - delayed.since < max_start_delay) {
            delayed_starts_.emplace(session, std::move(delayed));
        } else if (waits) {
            refuse(delayed.started, error_kind::not_ready);
        } else {
            start(delayed.started, now);
            for (const caller_statement& each : delayed.statements) {
                receive(each, now);
            }
        }
    }
}

void session_table::receive(const caller_statement& received, instant now)
{
    if (const auto delayed = delayed_starts_.find(received->session); delayed != delayed_starts_.end()) {
        if (delayed->second.statements.size() < max_pipelined) {
            delayed->second.statements.push_back(received);
        } else {
            const caller_connected started = delayed->second.started;
            delayed_starts_.erase(delayed);
            refuse(started, error_kind::overloaded);
        }
        return;
    }
    const auto found = sessions_.find(received->session);
    if (found == sessions_.end()) {
        hooks_.log("statement_dropped", "id=" + received->request_id + " session=" + std::to_string(received->session) +
                                            " reason=no_session");
        return;
    }
    caller_session& session = found->second;
    ++session.received;
    if (!session.current) {
        process(session, received, now);
    } else if (session.waiting.size() < max_pipelined) {
        session.waiting.push_back(received);
    } else {
        close(received->session, session_end_reason::pipeline_limit,
              session_error(error_kind::overloaded, "too many statements without an answer"), now);
    }
}

void session_table::refuse_malformed(const malformed_caller_message& malformed, instant now)
{
    hooks_.log("message_malformed", "session=" + std::to_string(malformed->session) + " id=" + malformed->request_id +
                                        " reason=\"" + malformed->reason + "\"");
    const error failure = session_error(error_kind::bad_request, malformed->reason);
    const auto found = sessions_.find(malformed->session);
    if (found != sessions_.end()) {
        ++found->second.received;
    }
    if (malformed->fatal || found == sessions_.end() || found->second.current) {
        close(malformed->session, session_end_reason::malformed_message, failure, now);
        return;
    }
    caller_session& session = found->second;
    session.current = caller_statement{{.session = session.number,
                                        .request_id = malformed->request_id,
                                        .after_close_notice = malformed->after_close_notice}};
    if (malformed->after_close_notice) {
        end_after_notice(session, now);
        return;
    }
    answer(session, failure);
    send_answer(session, now);
}

void session_table::leave(const caller_disconnected& left, instant now)
{
    kept_.set(left->session, 0);
    if (delayed_starts_.erase(left->session) > 0) {
        return;
    }
    const auto found = sessions_.find(left->session);
    if (found == sessions_.end()) {
        const bool closed = left->reason == session_end_reason::closed_by_daemon && left->unread_bytes == 0;
        if (!closed && left->reason != session_end_reason::caller_left &&
            left->reason != session_end_reason::caller_closed) {
            hooks_.log("connection_ended", "session=" + std::to_string(left->session) +
                                               " reason=" + std::string(session_end_reason_name(left->reason)) +
                                               " unsent_bytes=" + std::to_string(left->unsent_bytes) +
                                               " unread_bytes=" + std::to_string(left->unread_bytes));
        }
        return;
    }
    const bool offer_accepted = left->reason == session_end_reason::closed_by_daemon && found->second.close_offered;
    report_end(found->second, with(left, [&](caller_disconnected_fields& fields) {
                   fields.reason = offer_accepted ? found->second.close_reason : fields.reason;
               }));
    fire(found->second, event::left, nullptr, now);
    sessions_.erase(left->session);
}

void session_table::report_end(const caller_session& session, const caller_disconnected& left)
{
    session_end_fields end{.session = session.number,
                           .database = session.database,
                           .reason = left->reason,
                           .transaction = transaction_states_[static_cast<std::size_t>(session.state)],
                           .transaction_peer = hooks_.peer_of(session.connection),
                           .unsent_bytes = left->unsent_bytes,
                           .unread_bytes = left->unread_bytes};
    if (session.current) {
        end.pending.push_back(
            unanswered_statement{{.request_id = (*session.current)->request_id,
                                  .location = hooks_.locate(session.task).value_or(statement_location{})}});
    }
    for (const caller_statement& waiting : session.waiting) {
        end.pending.push_back(
            unanswered_statement{{.request_id = waiting->request_id,
                                  .location = statement_location{{.stage = statement_stage::pipelined}}}});
    }
    hooks_.ended(session_end{std::move(end)});
}

void session_table::end_after_failure(session_number number, instant now)
{
    delayed_starts_.erase(number);
    close(number, session_end_reason::internal_error, session_error(error_kind::internal, "internal error"), now);
}

void session_table::report_process_end()
{
    for (const auto& [number, session] : sessions_) {
        report_end(session, caller_disconnected{{.session = number, .reason = session_end_reason::process_ended}});
    }
}

void session_table::connection_lost(connection_number connection, instant now)
{
    const auto pinned = pinned_.find(connection);
    if (pinned == pinned_.end()) {
        return;
    }
    const auto found = sessions_.find(pinned->second);
    if (found != sessions_.end()) {
        fire(found->second, event::connection_lost, nullptr, now);
    }
}

void session_table::end_withdrawn_transactions(instant now)
{
    for (auto& [number, session] : sessions_) {
        if (!idle(session) && !session.current && !ok(tenant_of(session))) {
            hooks_.log("transaction_ended", "session=" + std::to_string(number) + " reason=key_withdrawn");
            fire(session, event::key_withdrawn, nullptr, now);
        }
    }
}

void session_table::tick(duration idle_limit, instant now)
{
    admit_delayed_starts(now);
    if (idle_limit == duration{}) {
        return;
    }
    const std::map<connection_number, session_number> pinned = pinned_;
    for (const auto& [connection, number] : pinned) {
        const auto found = sessions_.find(number);
        if (found != sessions_.end() && !found->second.current && now - found->second.last_used > idle_limit) {
            fire(found->second, event::idle_too_long, nullptr, now);
        }
    }
}

bool session_table::busy(session_number number) const
{
    const auto found = sessions_.find(number);
    return found != sessions_.end() && (found->second.current || !idle(found->second));
}

bool session_table::has_unanswered_statement(session_number number) const
{
    const auto found = sessions_.find(number);
    return found != sessions_.end() && found->second.current.has_value();
}

void session_table::close_after_answer(session_number number)
{
    if (const auto found = sessions_.find(number); found != sessions_.end()) {
        found->second.close_when_idle = true;
    }
}

void session_table::close_when_idle(session_number number)
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) {
        return;
    }
    found->second.close_when_idle = true;
    if (!busy(number)) {
        offer_close(found->second, session_end_reason::shutdown, shutdown_error());
    }
}

void session_table::end_transaction(session_number number, instant now)
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end() || found->second.current) {
        return;
    }
    fire(found->second, event::grace_over, nullptr, now);
    offer_close(found->second, session_end_reason::transaction_overdue,
                session_error(error_kind::transaction_lost, "the daemon is shutting down"));
}

/// Offers the close once for each number of received messages: a void offer is followed by a further message.
void session_table::offer_close(caller_session& session, session_end_reason reason, const error& failure)
{
    if (session.close_offered == session.received) {
        return;
    }
    session.close_offered = session.received;
    session.close_reason = session.refuses_statements ? session_end_reason::shutdown_overdue : reason;
    hooks_.reply(
        session_close{{.session = session.number,
                       .failure = failure,
                       .offer = close_offer{.received = session.received, .last = session.refuses_statements}}});
}

void session_table::end_statements(session_number number, instant now)
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) {
        return;
    }
    found->second.refuses_statements = true;
    if (found->second.current) {
        hooks_.expire(found->second.task, now);
    }
}

void session_table::close(session_number number, session_end_reason reason, const std::optional<error>& failure,
                          instant now)
{
    const auto found = sessions_.find(number);
    // The error would be taken for the answer to the statement in progress, whose outcome is unknown.
    const bool unanswered = found != sessions_.end() && found->second.current;
    hooks_.reply(session_close{{.session = number, .failure = unanswered ? std::nullopt : failure}});
    leave(caller_disconnected{{.session = number, .reason = reason}}, now);
}

std::vector<session_number> session_table::sessions() const
{
    std::vector<session_number> numbers;
    for (const auto& [number, session] : sessions_) {
        numbers.push_back(number);
    }
    return numbers;
}

} // namespace citronfall
