#include "citronfall/error_table.h"
#include "dispatch/connection_setup.h"
#include "dispatch/statement_dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citronfall {
namespace {

/// Delay before the next attempt of a statement that a member refused because it was overloaded.
constexpr duration overload_retry_delay = std::chrono::milliseconds(15);

/// Whether the answer states that the statement did not run.
bool says_not_run(const member_reply& reply)
{
    if (!reply->failure) {
        return false;
    }
    const error_kind kind = (*reply->failure)->kind;
    return kind == error_kind::overloaded || kind == error_kind::replica_behind || kind == error_kind::not_primary ||
           kind == error_kind::unknown_prepared_name;
}

std::string min_position_text(const std::optional<min_read_position>& min_position)
{
    if (!min_position) {
        return "none";
    }
    const log_position& position = (*min_position)->position;
    return std::to_string(position->term) + "." + std::to_string(position->index);
}

} // namespace

bool statement_dispatcher::needs_setup(const statement_task& task) const
{
    const pooled_connection* connection = pool_.find(task.connection);
    return connection != nullptr && !setup_statements(*connection, task.request->values, task.request->shape).empty();
}

/// A single read on the leader runs in a transaction of its own: a member that is no longer the leader still answers
/// reads outside a transaction, but refuses to begin a transaction that may write.
bool statement_dispatcher::needs_begin(const statement_task& task)
{
    switch (task.request->kind) {
    case transaction_step::opens_transaction:
    case transaction_step::opens_read_transaction:
        return true;
    case transaction_step::autocommit:
        return task.on_leader && !task.request->writes;
    case transaction_step::in_transaction:
        break;
    }
    return false;
}

void statement_dispatcher::send_setup(statement_task& task, instant now)
{
    pooled_connection& connection = *pool_.find(task.connection);
    const auto statements = setup_statements(connection, task.request->values, task.request->shape);
    apply_setup(connection, task.request->values, task.request->shape);
    task.setup_answers_pending = statements.size();
    pool_.send_internal(
        task.connection, statements,
        [this, number = task.number](const exchange_outcome& outcome, instant at) {
            on_setup_answer(number, outcome, at);
        },
        now);
}

void statement_dispatcher::on_setup_answer(task_number number, const exchange_outcome& outcome, instant now)
{
    const auto found = tasks_.find(number);
    if (found == tasks_.end()) {
        return;
    }
    statement_task& task = found->second;
    const auto* reply = std::get_if<member_reply>(&outcome);
    if (reply == nullptr) {
        task.connection = 0;
        fire(task, event::lost, nullptr, now);
    } else if ((*reply)->failure) {
        hooks_.log("connection_setup_refused", "id=" + task.request->request_id + " member=" + task.member +
                                                   " error=" + (*(*reply)->failure)->detail);
        fire(task, event::refused, reply, now);
    } else if (--task.setup_answers_pending == 0) {
        end_phase(task, statement_phase::setup, now);
        fire(task, event::prepared, nullptr, now);
    }
}

void statement_dispatcher::send_begin(statement_task& task, instant now)
{
    task.sent_at = now;
    const member_statement begin = task.on_leader ? member_statement(begin_read_write{})
                                                  : begin_read_only{.after = (*task.min_position)->position};
    pool_.send_internal(task.connection, {begin}, answer_hook(task.number, event::begun), now);
}

member_statement statement_dispatcher::statement_for_member(const statement_task& task) const
{
    const parsed_statement& query = task.request->query;
    const bool lone_read = task.request->kind == transaction_step::autocommit && !task.on_leader;
    const auto after = lone_read && task.min_position ? std::optional((*task.min_position)->position) : std::nullopt;
    if (query->verb == statement_verb::execute) {
        const pooled_connection* connection = pool_.find(task.connection);
        return execute_prepared{
            {.name = connection->prepared.at(*task.request->shape), .argument = query->argument, .after = after}};
    }
    return forwarded_statement{{.text = query->text, .after = after}};
}

void statement_dispatcher::send_statement(statement_task& task, instant now)
{
    task.sent_at = now;
    task.sent_statement = true;
    hooks_.log("statement_sent",
               "id=" + task.request->request_id + " session=" + std::to_string(task.request->session) +
                   " member=" + task.member + " connection=" + std::to_string(task.connection) + " kind=" +
                   transaction_step_name(task.request->kind) + (task.on_leader ? " leader=yes" : " leader=no") +
                   " after=" + min_position_text(task.min_position) + " attempt=" + std::to_string(task.attempts) +
                   " waited_us=" + std::to_string((now - task.arrived).count()));
    pool_.send(task.connection,
               member_query{{.request_id = task.request->request_id, .body = statement_for_member(task)}},
               exchange{.sent_at = now, .counts_as_load = true, .ended = answer_hook(task.number, event::answered)});
}

exchange_hook statement_dispatcher::answer_hook(task_number number, event success)
{
    return [this, number, success](const exchange_outcome& outcome, instant now) {
        on_answer(number, success, outcome, now);
    };
}

void statement_dispatcher::on_answer(task_number number, event success, const exchange_outcome& outcome, instant now)
{
    const auto found = tasks_.find(number);
    if (found == tasks_.end()) {
        return;
    }
    statement_task& task = found->second;
    const auto* reply = std::get_if<member_reply>(&outcome);
    if (reply == nullptr) {
        task.connection = 0;
        task.last_refusal =
            error{{.kind = error_kind::connect_failed, .detail = "connection to member " + task.member + " ended"}};
        fire(task, event::lost, nullptr, now);
        return;
    }
    observe_reply(task, *reply, success == event::begun, now);
    const bool begin_failed = success == event::begun && (*reply)->failure;
    end_answered_phase(task, success, *reply, now);
    fire(task, says_not_run(*reply) || begin_failed ? event::refused : success, reply, now);
}

/// A refused attempt counts as one phase from its start.
void statement_dispatcher::end_answered_phase(statement_task& task, event success, const member_reply& reply,
                                              instant now)
{
    if (says_not_run(reply)) {
        task.phase_since = task.attempt_since;
        end_phase(task, statement_phase::turned_away, now);
    } else {
        end_phase(task, success == event::begun ? statement_phase::begin : statement_phase::member, now);
    }
}

/// Updates what is known about the leader and about the member's log.
void statement_dispatcher::observe_reply(statement_task& task, const member_reply& reply, bool begin, instant now)
{
    const std::string& service = task.request->matched_route->service;
    if (reply->failure) {
        if ((*reply->failure)->kind == error_kind::not_primary) {
            hooks_.leadership_refused(service, task.member, now);
        } else if ((*reply->failure)->kind == error_kind::replica_behind && task.min_position) {
            hooks_.service(service).replica_lags[task.member].refused(*task.min_position, now);
        }
        return;
    }
    const bool commit = task.request->query->verb == statement_verb::commit && !begin;
    const bool proves = task.on_leader && (!commit || task.request->wrote_before);
    if (proves && reply->position) {
        hooks_.leadership_proved(service, task.member, *reply->position, task.sent_at, now);
    }
}

void statement_dispatcher::requeue(statement_task& task, const member_reply* reply, instant now)
{
    if (reply != nullptr && (*reply)->failure) {
        task.last_refusal = *(*reply)->failure;
        if ((*(*reply)->failure)->kind == error_kind::unknown_prepared_name) {
            task.last_refusal = std::nullopt; // The next connection prepares the shape again.
        }
    } else if (reply == nullptr) {
        task.may_have_run = task.may_have_run || task.sent_statement;
    }
    hooks_.log(
        "statement_requeued",
        "id=" + task.request->request_id + " member=" + task.member + " reason=" +
            (task.last_refusal ? std::string(error_row_for((*task.last_refusal)->kind).name) : "connection_state"));
    task.connection = 0;
    task.sent_statement = false;
    task.phase_since = now;
    // An overloaded member may have a free slot a moment later; other refusals would be repeated.
    const bool busy = task.last_refusal && (*task.last_refusal)->kind == error_kind::overloaded;
    if (!busy) {
        task.excluded.insert(task.member);
    }
    task.not_before = busy ? now + overload_retry_delay : now;
    queues_[task.request->matched_route->service].insert(
        {task.request->matched_route->priority, task.deadline, task.number});
}

void statement_dispatcher::release(statement_task& task, instant now)
{
    pool_.release(std::exchange(task.connection, 0), now);
}

bool statement_dispatcher::may_repeat(const statement_task& task)
{
    return task.request->kind != transaction_step::in_transaction;
}

/// A lost read has no effect. Neither has a lost first statement of a transaction, which the member rolls back.
bool statement_dispatcher::may_repeat_lost(const statement_task& task)
{
    switch (task.request->kind) {
    case transaction_step::autocommit:
        return !task.request->writes;
    case transaction_step::opens_transaction:
    case transaction_step::opens_read_transaction:
        return task.request->query->verb != statement_verb::commit;
    case transaction_step::in_transaction:
        break;
    }
    return false;
}

void statement_dispatcher::deliver(statement_task& task, const member_reply& reply, instant now)
{
    task_outcome_fields fields{.rows = reply->rows,
                               .receipt = reply->receipt,
                               .failure = reply->failure,
                               .state = reply->state,
                               .position = reply->position,
                               .leads = task.on_leader,
                               .member = task.member,
                               .sent_at = task.sent_at};
    const connection_number connection = std::exchange(task.connection, 0);
    if (task.request->kind == transaction_step::autocommit) {
        fields.state = transaction_state::none;
    }
    if (fields.state == transaction_state::open) {
        fields.connection = connection;
        if (pooled_connection* kept = pool_.find(connection)) {
            kept->lost = [this, connection](instant at) {
                hooks_.connection_lost(connection, at);
            };
        }
    } else {
        pool_.release(connection, now);
    }
    outcomes_.emplace_back(task.request, task_outcome{std::move(fields)});
}

void statement_dispatcher::fail(statement_task& task, error_kind kind, std::string detail)
{
    const bool in_transaction = task.request->kind != transaction_step::autocommit;
    const bool ended = task.request->query->verb == statement_verb::commit;
    outcomes_.emplace_back(task.request, task_outcome{{.failure = error{{.kind = kind, .detail = std::move(detail)}},
                                                       .state = in_transaction && !ended ? transaction_state::failed
                                                                                         : transaction_state::none,
                                                       .member = task.member,
                                                       .sent_at = task.sent_at}});
}

void statement_dispatcher::refuse_not_run(statement_task& task, instant now)
{
    if (task.may_have_run) {
        // An earlier attempt was lost. It left no effect, but it may have run, so the statement is not reported as not
        // run.
        const bool lone = task.request->kind == transaction_step::autocommit;
        fail(task, lone ? error_kind::statement_failed : error_kind::transaction_lost,
             "connection to member " + task.member + " ended");
        return;
    }
    const bool on_leader = needs_leader(task, now);
    const wait_conditions seen = wait_conditions_of(task, waiting(task.request->matched_route->service), now);
    const auto back_ms = std::chrono::duration_cast<std::chrono::milliseconds>(retry_after(seen)).count();
    const bool leaderless = on_leader && !seen->leader_known;
    const error_kind kind = leaderless ? error_kind::no_primary : error_kind::overloaded;
    fail(task, kind,
         std::string(error_row_for(kind).name) + " retry_after_ms=" + std::to_string(back_ms) +
             (task.last_refusal ? " last=" + std::string(error_row_for((*task.last_refusal)->kind).name)
                                : std::string{}));
}

/// Reports a statement that was sent and got no answer.
void statement_dispatcher::report_lost(statement_task& task)
{
    const std::string where = "no answer from member " + task.member;
    const bool commit = task.request->query->verb == statement_verb::commit;
    switch (task.request->kind) {
    case transaction_step::autocommit:
        fail(task, task.request->writes ? error_kind::outcome_unknown : error_kind::statement_timeout, where);
        return;
    case transaction_step::opens_transaction:
    case transaction_step::opens_read_transaction:
    case transaction_step::in_transaction:
        // The connection is closed, so the member rolls back what is not committed.
        fail(task, commit ? error_kind::outcome_unknown : error_kind::transaction_lost, where);
        return;
    }
}

} // namespace citronfall
