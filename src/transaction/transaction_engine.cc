#include "transaction/transaction_engine.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace citronfall {
namespace {

std::string hexadecimal(std::uint64_t value)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string text;
    for (int shift = 60; shift >= 0; shift -= 4) {
        text += digits[(value >> shift) & 15U];
    }
    return text;
}

} // namespace

result<transaction_engine> transaction_engine::make(transaction_engine_options options)
{
    auto definition = chart::make_embedded("transaction");
    if (!ok(definition)) {
        return error_of(definition);
    }
    auto states = program::make(take(std::move(definition)), bindings());
    if (!ok(states)) {
        return error_of(states);
    }
    return transaction_engine{std::move(options), take(std::move(states))};
}

transaction_engine::transaction_engine(transaction_engine_options options, program states)
    : options_(std::move(options)), program_(std::move(states))
{
}

chart_bindings<transaction_engine::step_context> transaction_engine::bindings()
{
    return {.events = {"start", "connection_ready", "ran", "conflict", "nothing_run", "dropped", "call_lost",
                       "statement", "commit", "rollback", "term_changed", "idle_expired", "deadline_passed",
                       "forget_due"},
            .guards = {{"has_primary",
                        [](const step_context& step) {
                            return step.subject.member.has_value();
                        }}},
            .actions = actions(),
            .arm_timer = [](step_context& step, const chart_timer& timer) {
                arm(step, timer);
            }};
}

std::map<std::string, std::function<void(transaction_engine::step_context&)>> transaction_engine::actions()
{
    using context = step_context;
    const auto fail_current = [](error_kind kind, const char* detail) {
        return [kind, detail](context& step) {
            step.engine.fail(*std::exchange(step.subject.current, std::nullopt), kind, detail);
        };
    };
    const auto refuse = [](error_kind kind, const char* detail) {
        return [kind, detail](context& step) {
            step.engine.fail(*step.request, kind, detail);
        };
    };
    const auto answer_current = [](context& step) {
        step.engine.answer(*std::exchange(step.subject.current, std::nullopt), step.subject);
    };
    return {{"join_queue",
             [](context& step) {
                 step.engine.waiting_[*step.subject.member].push_back(step.subject.id);
                 ++step.engine.waiting_count_;
             }},
            {"leave_queue",
             [](context& step) {
                 std::erase(step.engine.waiting_[*step.subject.member], step.subject.id);
                 --step.engine.waiting_count_;
             }},
            {"send_begin",
             [](context& step) {
                 step.engine.send(step.subject, member_operation::begin, nullptr, step.subject.begin->deadline);
             }},
            {"send_statement",
             [](context& step) {
                 step.subject.current = *step.request;
                 step.engine.send(step.subject, member_operation::statement, step.request,
                                  std::min(step.request->operator->()->deadline, step.subject.begin->deadline));
             }},
            {"send_rollback",
             [](context& step) {
                 if (step.request != nullptr) {
                     step.subject.current = *step.request;
                 }
                 step.engine.send(step.subject, member_operation::rollback, nullptr,
                                  step.now + step.engine.options_.rollback_timeout);
             }},
            {"release_connection",
             [](context& step) {
                 const connection_number connection = step.subject.connection;
                 step.engine.detach_connection(step.subject);
                 step.engine.options_.release(connection);
             }},
            {"discard_connection",
             [](context& step) {
                 const connection_number connection = step.subject.connection;
                 step.engine.detach_connection(step.subject);
                 step.engine.options_.discard(connection);
             }},
            {"hand_over_commit",
             [](context& step) {
                 const connection_number connection = step.subject.connection;
                 step.engine.detach_connection(step.subject);
                 const caller_request commit =
                     with(step.engine.scoped(*step.request), [&](caller_request_fields& fields) {
                         fields.kind = statement_kind::write;
                         fields.deadline = std::min(fields.deadline, step.now + step.subject.config->deadline);
                     });
                 step.engine.options_.commit(commit, step.subject.config, *step.subject.member, connection, step.now);
             }},
            {"resolve_commit",
             [](context& step) {
                 step.engine.options_.resolve_commit(step.engine.scoped(*step.request), &step.subject.config, step.now);
             }},
            {"answer_begun", answer_current},
            {"answer_result", answer_current},
            {"answer_rolled_back", answer_current},
            {"answer_conflict",
             [](context& step) {
                 step.engine.fail(*std::exchange(step.subject.current, std::nullopt), error_kind::conflict,
                                  "the database refused the statement", step.subject.reply->result);
             }},
            {"answer_no_primary", fail_current(error_kind::no_primary, "no primary is known to begin the transaction")},
            {"answer_term_changed", fail_current(error_kind::term_changed, "the primary changed during the begin")},
            {"answer_deadline_before_begin",
             fail_current(error_kind::deadline_before_send, "no connection became free before the deadline")},
            {"answer_begin_refused", fail_current(error_kind::overloaded, "the member did not begin the transaction")},
            {"answer_begin_lost", fail_current(error_kind::connect_failed, "the connection failed during the begin")},
            {"answer_nothing_run", fail_current(error_kind::overloaded,
                                                "the member did not run the statement; the transaction is still open")},
            {"answer_lost", fail_current(error_kind::transaction_lost, "the connection of the transaction was lost")},
            {"refuse_busy", refuse(error_kind::limit_reached, "another statement of the transaction is still running")},
            {"refuse_lost", refuse(error_kind::transaction_lost, "the transaction was rolled back")},
            {"refuse_unknown", refuse(error_kind::unknown_transaction, "the transaction is committed or committing")}};
}

void transaction_engine::arm(step_context& step, const chart_timer& timer)
{
    const transaction_engine_options& bounds = step.engine.options_;
    const instant deadline = step.subject.begin->deadline;
    instant due = deadline;
    if (timer->timer == "idle") {
        due = step.now + bounds.idle_timeout;
    } else if (timer->timer == "statement") {
        due = std::min((*step.subject.current)->deadline, deadline);
    } else if (timer->timer == "rollback") {
        due = step.now + bounds.rollback_timeout;
    } else if (timer->timer == "forget") {
        due = step.now + bounds.ended_retention;
    }
    step.subject.timer_number = ++step.engine.last_timer_;
    step.engine.timers_.arm(due, {.id = step.subject.id,
                                  .event = step.engine.program_.event(timer->event),
                                  .number = step.subject.timer_number});
}

void transaction_engine::begin(const caller_request& request, const class_config& config, instant now)
{
    const group_view& view = options_.view(request->group);
    const auto primary = view.primary();
    const std::string id = new_id();
    transaction_state subject{
        .id = id, .begin = request, .config = config, .member = {}, .term = view.term(), .current = request};
    if (primary) {
        subject.member = member_key{{.group = request->group, .member = *primary}};
    }
    subject.state = program_.initial();
    const auto member = subject.member;
    transactions_.emplace(id, std::move(subject));
    timers_.arm(request->deadline, {.id = id, .event = transaction_event::deadline_passed, .number = 0});
    fire(id, transaction_event::start, now);
    if (member) {
        serve_waiting(*member, now);
    }
}

void transaction_engine::handle(const caller_request& request, instant now)
{
    const auto found = transactions_.find(request->transaction);
    if (found == transactions_.end()) {
        if (request->operation == caller_operation::commit) {
            // Another daemon, or this one some time ago, may have carried out the commit, so "not run" is not proved.
            options_.resolve_commit(request, nullptr, now);
        } else {
            fail(request, error_kind::unknown_transaction, "no open transaction with this id");
        }
        return;
    }
    const std::string id = found->first;
    switch (request->operation) {
    case caller_operation::transaction_statement:
        fire(id, transaction_event::statement, now, &request);
        return;
    case caller_operation::commit:
        fire(id, transaction_event::commit, now, &request);
        return;
    case caller_operation::rollback:
        fire(id, transaction_event::rollback, now, &request);
        return;
    case caller_operation::statement:
    case caller_operation::begin:
        return;
    }
}

caller_request transaction_engine::scoped(const caller_request& request) const
{
    const auto found = transactions_.find(request->transaction);
    if (found == transactions_.end()) {
        return request;
    }
    return with(request, [&](caller_request_fields& fields) {
        fields.tenant = found->second.begin->tenant;
        fields.class_name = found->second.begin->class_name;
        fields.group = found->second.begin->group;
    });
}

void transaction_engine::apply(const upstream_event& event, instant now)
{
    const auto owner = connections_.find(event->connection);
    if (owner == connections_.end()) {
        return;
    }
    const std::string id = owner->second;
    transaction_state& subject = transactions_.at(id);
    if (event->kind != upstream_event_kind::answered) {
        fire(id, transaction_event::call_lost, now);
        return;
    }
    if (event->exchange != subject.exchange) {
        return; // The answer belongs to an earlier exchange.
    }
    subject.exchange = 0;
    subject.reply = event->answer;
    fire(id, event_of(event->answer->verdict), now);
}

void transaction_engine::serve_waiting(const member_key& member, instant now)
{
    auto& queue = waiting_[member];
    while (!queue.empty()) {
        const auto connection = options_.acquire(member);
        if (!connection) {
            options_.ensure_connections(member, queue.size(), now);
            return;
        }
        const std::string id = queue.front();
        queue.pop_front();
        --waiting_count_;
        transactions_.at(id).connection = *connection;
        connections_.emplace(*connection, id);
        fire(id, transaction_event::connection_ready, now);
    }
}

void transaction_engine::evidence_changed(const std::string& group, instant now)
{
    const term_number present = options_.view(group).term();
    if (std::exchange(last_terms_[group], present) == present) {
        return;
    }
    std::vector<std::string> outdated;
    for (const auto& [id, subject] : transactions_) {
        if (subject.begin->group == group && subject.term != present) {
            outdated.push_back(id);
        }
    }
    for (const std::string& id : outdated) {
        fire(id, transaction_event::term_changed, now);
    }
}

void transaction_engine::tick(instant now)
{
    while (const auto timer = timers_.pop_due(now)) {
        const auto found = transactions_.find(timer->id);
        if (found != transactions_.end() && (timer->number == 0 || timer->number == found->second.timer_number)) {
            fire(timer->id, timer->event, now);
        }
    }
}

std::string transaction_engine::new_id() const
{
    std::string id;
    do {
        id = hexadecimal(options_.secure_random()) + hexadecimal(options_.secure_random());
    } while (transactions_.contains(id));
    return id;
}

transaction_engine::transaction_event transaction_engine::event_of(member_verdict verdict)
{
    switch (verdict) {
    case member_verdict::done:
        return transaction_event::ran;
    case member_verdict::conflict:
        return transaction_event::conflict;
    case member_verdict::no_slot:
    case member_verdict::behind:
        return transaction_event::nothing_run;
    case member_verdict::wrong_term:
    case member_verdict::not_primary:
    case member_verdict::no_transaction:
    case member_verdict::cancelled:
        return transaction_event::dropped;
    case member_verdict::malformed:
        break;
    }
    return transaction_event::call_lost;
}

void transaction_engine::fire(const std::string& id, transaction_event event, instant now,
                              const caller_request* request)
{
    const auto found = transactions_.find(id);
    if (found == transactions_.end()) {
        return;
    }
    step_context step{.engine = *this, .subject = found->second, .request = request, .now = now};
    const state_id reached = program_.fire(found->second.state, event, step).state;
    found->second.state = reached;
    if (program_.is_final(reached)) {
        transactions_.erase(found);
    }
}

void transaction_engine::send(transaction_state& subject, member_operation operation, const caller_request* request,
                              instant deadline)
{
    subject.exchange = options_.next_number();
    member_call_fields call{.operation = operation, .term = subject.term};
    if (request != nullptr) {
        call.kind = (*request)->kind;
        call.statement = (*request)->statement;
        call.minimum = (*request)->session.value_or(session_token{}).position(subject.begin->group);
    }
    options_.send(
        upstream_command::start(subject.connection, subject.exchange, member_call{std::move(call)}, deadline));
}

void transaction_engine::detach_connection(transaction_state& subject)
{
    connections_.erase(subject.connection);
    subject.connection = 0;
    subject.exchange = 0;
}

void transaction_engine::answer(const caller_request& request, const transaction_state& subject)
{
    caller_answer_fields fields{.handle = request->handle, .session = request->session.value_or(session_token{})};
    switch (request->operation) {
    case caller_operation::begin:
        fields.transaction = subject.id;
        break;
    case caller_operation::transaction_statement:
        // Until the commit there is no proof that the primary has not been replaced.
        fields.evidence = evidence_kind::primary;
        fields.result = subject.reply->result;
        break;
    case caller_operation::statement:
    case caller_operation::commit:
    case caller_operation::rollback:
        break;
    }
    options_.answer(caller_answer{std::move(fields)});
}

void transaction_engine::fail(const caller_request& request, error_kind kind, const std::string& detail,
                              const std::string& result)
{
    options_.answer(caller_answer{{.handle = request->handle,
                                   .failure = kind,
                                   .detail = detail,
                                   .result = result,
                                   .session = request->session.value_or(session_token{})}});
}

} // namespace citronfall
