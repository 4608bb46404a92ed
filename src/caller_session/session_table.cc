#include "caller_session/session_table.h"

#include "chart/embedded_program.h"
#include "citronfall/answer_table.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Statements that a session may send ahead of its answers. Callers send one at a time; the bound limits memory.
constexpr std::size_t max_waiting = 32;

error problem(error_kind kind, std::string detail)
{
    return error{{.kind = kind, .detail = std::move(detail)}};
}

std::string outcome_text(const std::optional<error>& failure)
{
    return failure ? std::string(answer_for((*failure)->kind).name) : "done";
}

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
    visible_states_.assign(subject.states().size(), transaction_state::none);
    for (const char* name : {"announced", "running", "open", "lost", "failed"}) {
        const auto id = subject.find(name);
        if (!ok(id)) {
            return error_of(id);
        }
        visible_states_[static_cast<std::size_t>(value_of(id))] =
            std::string_view(name) == "failed" ? transaction_state::failed : transaction_state::open;
    }
    return done{};
}

chart_bindings<session_table::context> session_table::bindings()
{
    const auto rolled_back = [](context& each) {
        each.table.answer(each.session, problem(error_kind::transaction_lost, "the transaction was rolled back"));
    };
    return {.events = {"begin", "run", "roll_back", "answered_open", "answered_ended", "answered_failed",
                       "connection_lost", "idle_too_long", "left"},
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
                     each.table.answer(each.session, problem(error_kind::bad_request, "the transaction has failed"));
                 }},
                {"run_single",
                 [](context& each) {
                     each.table.run(each.session, task_kind::single, each.now);
                 }},
                {"run_first",
                 [](context& each) {
                     const auto kind =
                         each.session.read_only ? task_kind::opens_read_transaction : task_kind::opens_transaction;
                     each.table.run(each.session, kind, each.now);
                 }},
                {"run_next",
                 [](context& each) {
                     each.table.run(each.session, task_kind::in_transaction, each.now);
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
                     each.session.leads = (*each.outcome)->leads;
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
    if (const auto* started = std::get_if<caller_started>(&message)) {
        start(*started, now);
    } else if (const auto* received = std::get_if<caller_statement>(&message)) {
        receive(*received, now);
    } else if (const auto* malformed = std::get_if<caller_malformed>(&message)) {
        refuse_malformed(*malformed, now);
    } else if (const auto* left = std::get_if<caller_left>(&message)) {
        leave((*left)->session, now);
    }
}

void session_table::start(const caller_started& started, instant now)
{
    const auto refuse = [&](error_kind kind) {
        hooks_.log("session_refused", "session=" + std::to_string(started->session) + " database=" + started->database +
                                          " error=" + std::string(answer_for(kind).name));
        hooks_.reply(session_close{{.session = started->session, .failure = problem(kind, started->database)}});
    };
    if (const auto reason = hooks_.refuse_start(now)) {
        refuse(*reason);
        return;
    }
    if (hooks_.find_route(started->database) == nullptr) {
        refuse(error_kind::unknown_database);
        return;
    }
    caller_session& session = sessions_[started->session];
    session.number = started->session;
    session.database = started->database;
    session.state = program_->initial();
    session.last_used = now;
    hooks_.reply(session_ready{{.session = started->session}});
}

void session_table::receive(const caller_statement& received, instant now)
{
    const auto found = sessions_.find(received->session);
    if (found == sessions_.end()) {
        return;
    }
    caller_session& session = found->second;
    if (!session.current) {
        process(session, received, now);
    } else if (session.waiting.size() < max_waiting) {
        session.waiting.push_back(received);
    } else {
        close(received->session, problem(error_kind::overloaded, "too many statements without an answer"), now);
    }
}

void session_table::refuse_malformed(const caller_malformed& malformed, instant now)
{
    hooks_.log("message_malformed", "session=" + std::to_string(malformed->session) + " id=" + malformed->request_id +
                                        " reason=\"" + malformed->reason + "\"");
    const error failure = problem(error_kind::bad_request, malformed->reason);
    const auto found = sessions_.find(malformed->session);
    if (malformed->fatal || found == sessions_.end() || found->second.current) {
        close(malformed->session, failure, now);
        return;
    }
    caller_session& session = found->second;
    session.current = caller_statement{{.session = session.number, .request_id = malformed->request_id}};
    answer(session, failure);
    send_answer(session, now);
}

void session_table::leave(session_number number, instant now)
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) {
        return;
    }
    fire(found->second, event::left, nullptr, now);
    sessions_.erase(number);
}

void session_table::process(caller_session& session, const caller_statement& received, instant now)
{
    session.current = received;
    session.last_used = now;
    session.task_started = now;
    const parsed_statement& query = received->query;
    const bool begins = query->verb == statement_verb::begin || query->verb == statement_verb::begin_read_only;
    if (begins && !idle(session)) {
        answer(session, problem(error_kind::bad_request, "a transaction is open"));
        send_answer(session, now);
    } else if ((begins || idle(session)) && hooks_.find_route(session.database) == nullptr) {
        answer(session, problem(error_kind::unknown_database, session.database));
        send_answer(session, now);
    } else if (begins) {
        fire(session, event::begin, nullptr, now);
    } else if (query->verb == statement_verb::rollback) {
        fire(session, event::roll_back, nullptr, now);
    } else if (!runs_on_member(query)) {
        process_local(session, query);
        send_answer(session, now);
    } else if (auto refusal = check_run(session, query)) {
        answer(session, std::move(refusal));
        send_answer(session, now);
    } else {
        fire(session, event::run, nullptr, now);
    }
}

/// SET, PREPARE and DEALLOCATE change only what the session keeps.
void session_table::process_local(caller_session& session, const parsed_statement& query)
{
    if (visible_states_[static_cast<std::size_t>(session.state)] == transaction_state::failed) {
        answer(session, problem(error_kind::bad_request, "the transaction has failed"));
        return;
    }
    if (query->verb == statement_verb::set) {
        session.values[query->name] = query->argument;
    } else if (query->verb == statement_verb::prepare) {
        session.prepared[query->name] = prepared_shape{{.shape = query->argument, .writes = query->prepares_write}};
    } else if (session.prepared.erase(query->name) == 0) {
        answer(session, problem(error_kind::unknown_prepared_name, query->name));
        return;
    }
    answer(session, std::nullopt);
}

/// Why a statement cannot go to a member, if it cannot.
std::optional<error> session_table::check_run(const caller_session& session, const parsed_statement& query) const
{
    if (query->verb == statement_verb::commit && idle(session)) {
        return problem(error_kind::bad_request, "no transaction is open");
    }
    bool writes = query->verb == statement_verb::write;
    if (query->verb == statement_verb::execute) {
        const auto shape = session.prepared.find(query->name);
        if (shape == session.prepared.end()) {
            return problem(error_kind::unknown_prepared_name, query->name);
        }
        writes = shape->second->writes;
    }
    if (writes && !idle(session) && session.read_only) {
        return problem(error_kind::not_primary, "the transaction only reads");
    }
    return std::nullopt;
}

void session_table::run(caller_session& session, task_kind kind, instant now)
{
    const parsed_statement& query = (*session.current)->query;
    task_request_fields fields{.session = session.number,
                               .request_id = (*session.current)->request_id,
                               .query = query,
                               .policy = session.transaction_route ? *session.transaction_route
                                                                   : *hooks_.find_route(session.database),
                               .kind = kind,
                               .writes = query->verb == statement_verb::write,
                               .wrote_before = session.wrote,
                               .proves_lead = kind == task_kind::in_transaction && session.leads,
                               .own_commits = session.own_commits,
                               .values = session.values,
                               .connection = session.connection};
    if (query->verb == statement_verb::execute) {
        fields.shape = session.prepared.at(query->name);
        fields.writes = (*fields.shape)->writes;
    }
    session.wrote = session.wrote || (fields.writes && kind != task_kind::single);
    const session_number number = session.number;
    const task_number task = hooks_.submit(task_request{std::move(fields)}, now);
    // The statement may have been answered, and the session may have gone on, before this returns.
    const auto found = sessions_.find(number);
    if (found != sessions_.end() && found->second.current) {
        found->second.task = task;
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
    hooks_.answered(request->policy, outcome, now - session.task_started);
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

/// Remembers the position of a commit, which later reads of the session must show.
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
        session.own_commits = read_floor{{.position = *outcome->position, .known_since = outcome->sent_at}};
    }
}

void session_table::answer(caller_session& session, std::optional<error> failure)
{
    session.answer = statement_reply_fields{.session = session.number, .failure = std::move(failure)};
}

void session_table::send_answer(caller_session& session, instant now)
{
    statement_reply_fields fields = *std::exchange(session.answer, std::nullopt);
    fields.state = visible_states_[static_cast<std::size_t>(session.state)];
    const session_number number = session.number;
    session.current.reset();
    session.last_used = now;
    const bool closing = session.close_when_idle && idle(session) && session.waiting.empty();
    fields.close_after = closing;
    hooks_.reply(statement_reply{std::move(fields)});
    if (closing) {
        hooks_.log("session_closed", "session=" + std::to_string(number) + " reason=shutdown");
        sessions_.erase(number);
        return;
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

void session_table::tick(duration idle_limit, instant now)
{
    if (idle_limit == duration{}) {
        return;
    }
    for (auto& [number, session] : sessions_) {
        if (session.connection != 0 && !session.current && now - session.last_used > idle_limit) {
            fire(session, event::idle_too_long, nullptr, now);
        }
    }
}

bool session_table::busy(session_number number) const
{
    const auto found = sessions_.find(number);
    return found != sessions_.end() && (found->second.current || !idle(found->second));
}

bool session_table::owes_answer(session_number number) const
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

void session_table::close_when_idle(session_number number, instant now)
{
    const auto found = sessions_.find(number);
    if (found == sessions_.end()) {
        return;
    }
    found->second.close_when_idle = true;
    if (!busy(number)) {
        hooks_.log("session_closed", "session=" + std::to_string(number) + " reason=shutdown");
        close(number, std::nullopt, now);
    }
}

void session_table::close_now(session_number number, instant now)
{
    hooks_.log("session_closed", "session=" + std::to_string(number) + " reason=shutdown_overdue");
    close(number, problem(error_kind::transaction_lost, "the daemon shuts down"), now);
}

void session_table::close(session_number number, const std::optional<error>& failure, instant now)
{
    hooks_.reply(session_close{{.session = number, .failure = failure}});
    leave(number, now);
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
