#include "dispatch/statement_dispatcher.h"

#include "chart/embedded_program.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citronfall {
namespace {

/// Limit on the attempts of one statement. Each further attempt follows a refusal or a lost connection; members that
/// refuse one statement several times in a row are overloaded.
constexpr unsigned max_attempts = 5;

/// Interval of checks whether waiting statements can be placed or are no longer worth waiting. Bounds the delay of a
/// statement that waits before its next attempt.
constexpr duration waiting_check_interval = std::chrono::milliseconds(25);

} // namespace

result<std::unique_ptr<statement_dispatcher>> statement_dispatcher::make(dispatcher_hooks hooks, member_pool& pool,
                                                                         std::string data_center)
{
    std::unique_ptr<statement_dispatcher> made(
        new statement_dispatcher(std::move(hooks), pool, std::move(data_center)));
    if (const auto bound = made->bind(); !ok(bound)) {
        return error_of(bound);
    }
    return made;
}

result<done> statement_dispatcher::bind()
{
    auto made = make_embedded_program<event, context>("statement", bindings());
    if (!ok(made)) {
        return error_of(made);
    }
    program_.emplace(take(std::move(made)));
    return done{};
}

chart_bindings<statement_dispatcher::context> statement_dispatcher::bindings()
{
    return {
        .events = {"placed", "prepared", "begun", "answered", "refused", "lost", "expired", "hopeless", "cancelled"},
        .guards =
            {
                {"needs_setup",
                 [](const context& each) {
                     return each.dispatcher.needs_setup(each.task);
                 }},
                {"needs_begin",
                 [](const context& each) {
                     return needs_begin(each.task);
                 }},
                {"in_transaction",
                 [](const context& each) {
                     return each.task.request->kind == transaction_step::in_transaction;
                 }},
                {"may_repeat",
                 [](const context& each) {
                     return may_repeat(each.task);
                 }},
                {"may_repeat_lost",
                 [](const context& each) {
                     return may_repeat_lost(each.task);
                 }},
            },
        .actions = {
            {"send_setup",
             [](context& each) {
                 each.dispatcher.send_setup(each.task, each.now);
             }},
            {"send_begin",
             [](context& each) {
                 each.dispatcher.send_begin(each.task, each.now);
             }},
            {"send_statement",
             [](context& each) {
                 each.dispatcher.send_statement(each.task, each.now);
             }},
            {"requeue",
             [](context& each) {
                 each.dispatcher.requeue(each.task, each.reply, each.now);
             }},
            {"release_connection",
             [](context& each) {
                 each.dispatcher.release(each.task, each.now);
             }},
            {"discard_connection",
             [](context& each) {
                 each.dispatcher.pool_.discard(std::exchange(each.task.connection, 0), each.now);
             }},
            {"deliver",
             [](context& each) {
                 each.dispatcher.deliver(each.task, *each.reply, each.now);
             }},
            {"refuse_not_run",
             [](context& each) {
                 each.dispatcher.refuse_not_run(each.task, each.now);
             }},
            {"report_lost",
             [](context& each) {
                 each.dispatcher.report_lost(each.task);
             }},
            {"report_rolled_back",
             [](context& each) {
                 each.dispatcher.fail(each.task, error_kind::transaction_lost,
                                      "connection to member " + each.task.member + " ended");
             }},
        }};
}

void statement_dispatcher::fire(statement_task& task, event what, const member_reply* reply, instant now)
{
    const bool was_final = program_->is_final(task.state);
    context each{.dispatcher = *this, .task = task, .reply = reply, .now = now};
    task.state = program_->fire(task.state, what, each).state;
    if (!was_final && program_->is_final(task.state)) {
        hooks_.phase_ended(task.request->matched_route, statement_phase::run, now - task.arrived);
        queues_[task.request->matched_route->service].erase(
            {task.request->matched_route->priority, task.deadline, task.number});
        finished_.push_back(task.number);
    }
}

/// Reports how long the task's current phase took, and starts the next one.
void statement_dispatcher::end_phase(statement_task& task, statement_phase phase, instant now)
{
    hooks_.phase_ended(task.request->matched_route, phase, now - task.phase_since);
    task.phase_since = now;
}

void statement_dispatcher::drop_finished()
{
    for (const task_number number : std::exchange(finished_, {})) {
        tasks_.erase(number);
    }
    deadlines_.drop_void([this](task_number number) { return !tasks_.contains(number); });
}

task_number statement_dispatcher::submit(const task_request& request, instant now)
{
    drop_finished();
    const task_number number = ++last_task_;
    statement_task& task = tasks_[number];
    task.number = number;
    task.state = program_->initial();
    task.request = request;
    task.arrived = now;
    task.phase_since = now;
    task.deadline = now + request->matched_route->statement_timeout;
    deadlines_.arm(task.deadline, number);
    const std::string service = request->matched_route->service;
    if (request->kind == transaction_step::in_transaction) {
        task.connection = request->connection;
        if (const pooled_connection* connection = pool_.find(task.connection)) {
            task.member = connection->member;
            task.on_leader = request->proves_lead;
            fire(task, event::placed, nullptr, now);
        } else {
            fail(task, error_kind::transaction_lost, "connection of the transaction ended");
            fire(task, event::cancelled, nullptr, now);
        }
        return number;
    }
    queues_[service].insert({request->matched_route->priority, task.deadline, number});
    place_waiting(service, now);
    return number;
}

void statement_dispatcher::cancel(task_number number, instant now)
{
    if (const auto found = tasks_.find(number); found != tasks_.end()) {
        fire(found->second, event::cancelled, nullptr, now);
    }
}

std::optional<statement_location> statement_dispatcher::locate(task_number number) const
{
    const auto found = tasks_.find(number);
    if (found == tasks_.end() || program_->is_final(found->second.state)) {
        return std::nullopt;
    }
    const statement_task& task = found->second;
    if (task.connection == 0) {
        return statement_location{{.stage = statement_stage::queued}};
    }
    const statement_stage stage = task.sent_statement ? statement_stage::running : statement_stage::preparing;
    return statement_location{{.stage = stage, .member = task.member}};
}

void statement_dispatcher::expire(task_number number, instant now)
{
    if (const auto found = tasks_.find(number); found != tasks_.end()) {
        fire(found->second, event::expired, nullptr, now);
    }
}

void statement_dispatcher::place_waiting(const std::string& service, instant now)
{
    // Iterates over a copy, because placing and refusing change the queue.
    const std::set<queue_key> queue = queues_[service];
    std::size_t queued_ahead = 0;
    for (const queue_key& key : queue) {
        const auto found = tasks_.find(std::get<task_number>(key));
        if (found == tasks_.end() || program_->is_final(found->second.state) || found->second.connection != 0) {
            continue;
        }
        statement_task& task = found->second;
        const bool exhausted = task.attempts >= max_attempts;
        if (!exhausted && now >= task.not_before && try_place(task, now)) {
            continue;
        }
        const wait_conditions seen = wait_conditions_of(task, queued_ahead, now);
        task.waited_for_leader = task.waited_for_leader || (seen->needs_leader && !seen->leader_known);
        if (exhausted || !worth_waiting(seen)) {
            fire(task, event::hopeless, nullptr, now);
            continue;
        }
        ++queued_ahead;
    }
}

std::optional<instant> statement_dispatcher::next() const
{
    const auto deadline = deadlines_.next();
    const bool any_waiting =
        std::any_of(queues_.begin(), queues_.end(), [](const auto& each) { return !each.second.empty(); });
    if (!any_waiting) {
        return deadline;
    }
    const instant check = last_tick_ + waiting_check_interval;
    return deadline ? std::min(*deadline, check) : check;
}

void statement_dispatcher::tick(instant now)
{
    last_tick_ = now;
    drop_finished();
    while (const auto due = deadlines_.pop_due(now)) {
        expire(*due, now);
    }
    for (const auto& [service, queue] : queues_) {
        if (!queue.empty()) {
            place_waiting(service, now);
        }
    }
    drop_finished();
}

void statement_dispatcher::report(instant now)
{
    drop_finished();
    while (!outcomes_.empty()) {
        const auto [request, outcome] = std::move(outcomes_.front());
        outcomes_.pop_front();
        hooks_.finished(request, outcome, now);
    }
}

std::size_t statement_dispatcher::waiting(const std::string& service) const
{
    const auto found = queues_.find(service);
    return found == queues_.end() ? 0 : found->second.size();
}

} // namespace citronfall
