#include "request/request_engine.h"

#include "citronfall/error_table.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citronfall {
namespace {

/// Maximum pause before the first retry, a few round trips between data centres. Doubles with each further retry.
constexpr duration initial_retry_pause = std::chrono::milliseconds(10);

/// Maximum pause before any retry. It leaves time for a retry within the shortest request deadline in use, 1 s.
constexpr duration max_retry_pause = std::chrono::milliseconds(160);

bool is_commit(const caller_request& request)
{
    return request->operation == caller_operation::commit;
}

bool is_read(const caller_request& request)
{
    return !is_commit(request) && request->kind == statement_kind::read;
}

/// Maximum pause before the next retry, after `retries` earlier ones.
duration retry_pause_limit(std::uint32_t retries)
{
    return std::min(max_retry_pause, initial_retry_pause * (1U << std::min(retries, 4U)));
}

/// Error for the caller if the member refused the call without running it and the request is not retried.
error_kind error_of_refusal(member_verdict verdict)
{
    switch (verdict) {
    case member_verdict::wrong_term:
    case member_verdict::not_primary:
        return error_kind::term_changed;
    case member_verdict::behind:
        return error_kind::no_fresh_member;
    case member_verdict::no_slot:
        return error_kind::overloaded;
    case member_verdict::no_transaction:
        return error_kind::transaction_lost;
    case member_verdict::done:
    case member_verdict::conflict:
    case member_verdict::cancelled:
    case member_verdict::malformed:
        break;
    }
    return error_kind::internal;
}

} // namespace

result<request_engine> request_engine::make(request_engine_options options)
{
    assert(options.routes != nullptr);
    auto definition = chart::make_embedded("request");
    if (!ok(definition)) {
        return error_of(definition);
    }
    auto states = program::make(take(std::move(definition)), bindings());
    if (!ok(states)) {
        return error_of(states);
    }
    return request_engine{std::move(options), take(std::move(states))};
}

request_engine::request_engine(request_engine_options options, program states)
    : options_(std::move(options)), program_(std::move(states))
{
}

chart_bindings<request_engine::step_context> request_engine::bindings()
{
    return {.events = {"start", "start_commit", "member_found", "must_wait", "connection_ready", "member_unreachable",
                       "run", "refused_by_database", "cancelled", "nothing_run", "call_unsent", "call_lost",
                       "evidence_changed", "route_changed", "pause_over", "deadline_passed"},
            .guards = guards(),
            .actions = actions(),
            .arm_timer = [](step_context& step, const chart_timer& timer) {
                step.engine.arm(step.subject, timer->timer, step.now);
            }};
}

std::map<std::string, std::function<bool(const request_engine::step_context&)>> request_engine::guards()
{
    using context = step_context;
    return {{"refused",
             [](const context& step) {
                 return step.subject.refused.has_value();
             }},
            {"expired",
             [](const context& step) {
                 return step.subject.request->deadline <= step.now;
             }},
            {"is_commit",
             [](const context& step) {
                 return is_commit(step.subject.request);
             }},
            {"is_read",
             [](const context& step) {
                 return is_read(step.subject.request);
             }},
            {"resendable",
             [](const context& step) {
                 const caller_request& request = step.subject.request;
                 return is_read(request) || (request->repeatable && !is_commit(request));
             }},
            {"retry_allowed",
             [](const context& step) {
                 return step.engine.retry_allowed(step.subject, step.now);
             }},
            {"read_retry_allowed",
             [](const context& step) {
                 return is_read(step.subject.request) && step.engine.retry_allowed(step.subject, step.now);
             }},
            {"refused_behind",
             [](const context& step) {
                 return is_read(step.subject.request) && step.subject.answer->verdict == member_verdict::behind;
             }},
            {"was_refused",
             [](const context& step) {
                 return step.subject.nothing_run.has_value();
             }},
            {"minimum_proved",
             [](const context& step) {
                 const request_state& subject = step.subject;
                 return subject.to_primary || step.engine.options_.routes->minimum_position(
                                                  subject.request->group, subject.requirement, step.now);
             }},
            {"member_suitable",
             [](const context& step) {
                 return step.engine.member_suitable(step.subject);
             }},
            {"replaced",
             [](const context& step) {
                 const request_state& subject = step.subject;
                 return subject.to_primary &&
                        step.engine.options_.view(subject.request->group).term() > subject.call_term;
             }},
            {"evidence_sufficient",
             [](const context& step) {
                 return step.engine.evidence_sufficient(step.subject);
             }},
            {"position_lost", [](const context& step) {
                 return step.engine.position_lost(step.subject);
             }}};
}

std::map<std::string, std::function<void(request_engine::step_context&)>> request_engine::actions()
{
    using context = step_context;
    std::map<std::string, std::function<void(context&)>> all{
        {"route", route},
        {"route_resolve", route_resolve},
        {"join_queue",
         [](context& step) {
             step.engine.join_queue(step.subject, step.now);
         }},
        {"join_resolves",
         [](context& step) {
             step.engine.join_resolves(step.subject);
         }},
        {"leave_queue",
         [](context& step) {
             step.engine.leave_queue(step.subject, step.now);
         }},
        {"send_statement",
         [](context& step) {
             step.engine.send_statement(step.subject, step.now);
         }},
        {"send_resolve",
         [](context& step) {
             step.engine.send_resolve(step.subject, step.now);
         }},
        {"release_connection",
         [](context& step) {
             step.engine.options_.release(step.subject.connection);
             step.engine.detach_from_member(step.subject, step.now);
         }},
        {"discard_connection",
         [](context& step) {
             step.engine.options_.discard(step.subject.connection);
             step.engine.detach_from_member(step.subject, step.now);
         }},
        {"exclude_member",
         [](context& step) {
             step.subject.progress.refused |= step.subject.member_bit;
         }},
        {"forget_refusals",
         [](context& step) {
             step.subject.progress.refused = 0;
         }},
        {"await_evidence",
         [](context& step) {
             // The first wait of a read, for a replica that is about to catch up, needs new statuses at once. For later
             // waits the regular status polls are enough.
             const bool brief = is_read(step.subject.request) && step.subject.pauses == 0;
             step.engine.await_evidence(step.subject, brief);
         }},
        {"request_evidence",
         [](context& step) {
             step.engine.await_evidence(step.subject, true);
         }},
        {"plan_retry",
         [](context& step) {
             step.engine.plan_retry(step.subject, step.now);
         }},
        {"plan_resolve",
         [](context& step) {
             step.subject.pause = initial_retry_pause;
         }},
        {"note_doubt",
         [](context& step) {
             step.subject.in_doubt = true;
         }},
        {"record_evidence", [](context& step) {
             const bool replica = is_read(step.subject.request) && !step.subject.to_primary;
             const bool cancelled = step.subject.answer->verdict == member_verdict::cancelled;
             step.subject.evidence = replica     ? evidence_kind::replica
                                     : cancelled ? evidence_kind::majority
                                                 : step.subject.config->evidence;
         }}};
    all.merge(answer_actions());
    return all;
}

std::map<std::string, std::function<void(request_engine::step_context&)>> request_engine::answer_actions()
{
    using context = step_context;
    const auto fail = [](error_kind kind, const char* detail) {
        return [kind, detail](context& step) {
            step.engine.answer_failure(step.subject, kind, detail);
        };
    };
    return {
        {"answer_done",
         [](context& step) {
             step.engine.answer_done(step.subject);
         }},
        {"answer_refusal", fail(error_kind::conflict, "the database refused the statement")},
        {"answer_refused",
         [](context& step) {
             const refusal& why = *step.subject.refused;
             step.engine.answer_failure(step.subject, why->kind, why->detail, why->retry_after);
         }},
        {"answer_cancelled",
         [](context& step) {
             const bool commit = is_commit(step.subject.request);
             step.engine.answer_failure(step.subject, commit ? error_kind::transaction_lost : error_kind::cancelled,
                                        "a majority of members has recorded the request as cancelled");
         }},
        {"answer_no_primary", fail(error_kind::no_primary, "no primary accepted the request before the deadline")},
        {"answer_no_fresh_member",
         fail(error_kind::no_fresh_member, "no member was recent enough to serve the read before the deadline")},
        {"answer_nothing_run",
         [](context& step) {
             step.engine.answer_failure(step.subject, step.subject.nothing_run.value_or(error_kind::internal),
                                        "the member did not run the request");
         }},
        {"answer_rolled_back",
         fail(error_kind::transaction_lost, "the commit was not run; the transaction was rolled back")},
        {"answer_unknown", fail(error_kind::outcome_unknown, "the outcome could not be proved before the deadline")},
        {"answer_deadline_before_send",
         fail(error_kind::deadline_before_send, "no connection became free before the deadline")}};
}

void request_engine::start(const caller_request& request, const class_config& config, instant now)
{
    add(request, config, now);
    request_state& subject = requests_.at(request->handle);
    // Admission counts each request once, even if no member can take it yet.
    const member_key unknown{{.group = request->group, .member = {}}};
    subject.refused = options_.admit(request, find_route(subject, now)->member.value_or(unknown), now);
    fire(request->handle, request_event::start, now);
    run_deferred(now);
}

void request_engine::start_commit(const caller_request& request, const class_config& config, const member_key& member,
                                  connection_number connection, instant now)
{
    assert(is_commit(request) && !request->request_id.empty());
    add(request, config, now);
    request_state& subject = requests_.at(request->handle);
    subject.member = member;
    subject.connection = connection;
    subject.to_primary = true;
    fire(request->handle, request_event::start_commit, now);
    run_deferred(now);
}

void request_engine::add(const caller_request& request, const class_config& config, instant now)
{
    request_state& subject =
        requests_
            .emplace(request->handle, request_state{.request = request,
                                                    .config = config,
                                                    .requirement = read_requirement::make(request, config)})
            .first->second;
    budget_.count_request(now);
    step_context step{.engine = *this, .subject = subject, .now = now};
    subject.state = program_.start(step);
}

void request_engine::apply(const upstream_event& event, instant now)
{
    const auto exchange = exchanges_.find(event->exchange);
    if (exchange == exchanges_.end()) {
        return; // The exchange was given up; its late answer is dropped.
    }
    const request_handle handle = exchange->second;
    exchanges_.erase(exchange);
    request_state& subject = requests_.at(handle);
    if (event->kind != upstream_event_kind::answered) {
        if (!event->bytes_sent) {
            subject.nothing_run = error_kind::connect_failed;
        }
        fire(handle, event->bytes_sent ? request_event::call_lost : request_event::call_unsent, now);
    } else {
        subject.sent_at = event->sent_at;
        options_.routes->record_service_time(*subject.member, event->received_at - event->sent_at);
        fire_answer(handle, event->answer, now);
    }
    run_deferred(now);
}

void request_engine::fire_answer(request_handle handle, const member_answer& answer, instant now)
{
    request_state& subject = requests_.at(handle);
    subject.answer = answer;
    switch (answer->verdict) {
    case member_verdict::done:
        options_.observe_position(*subject.member, answer);
        fire(handle, request_event::run, now);
        return;
    case member_verdict::conflict:
        options_.observe_position(*subject.member, answer);
        fire(handle, request_event::refused_by_database, now);
        return;
    case member_verdict::cancelled:
        options_.observe_position(*subject.member, answer);
        fire(handle, request_event::cancelled, now);
        return;
    case member_verdict::malformed:
        fire(handle, request_event::call_lost, now);
        return;
    case member_verdict::wrong_term:
    case member_verdict::behind:
    case member_verdict::no_slot:
    case member_verdict::not_primary:
    case member_verdict::no_transaction:
        subject.nothing_run = error_of_refusal(answer->verdict);
        fire(handle, request_event::nothing_run, now);
        return;
    }
}

void request_engine::serve_waiting(const member_key& member, instant now)
{
    members_to_serve_.insert(member);
    run_deferred(now);
}

/// Does the work that state transitions have deferred: assigns connections and requests status polls.
void request_engine::run_deferred(instant now)
{
    while (!members_to_serve_.empty()) {
        assign_connections(members_to_serve_.extract(members_to_serve_.begin()).value(), now);
    }
    for (const std::string& group : std::exchange(groups_to_poll_, {})) {
        options_.poll_group_status(group, now);
    }
}

/// Assigns idle connections to the member to waiting requests. Requests in doubt come first, because they complete work
/// that has already started.
void request_engine::assign_connections(const member_key& member, instant now)
{
    auto& resolve_queue = resolve_queues_[member];
    while (true) {
        const std::size_t ready = options_.ready(member, now);
        if (resolve_queue.empty() && ready == 0) {
            return;
        }
        const auto connection = options_.acquire(member);
        if (!connection) {
            options_.ensure_connections(member, resolve_queue.size() + ready, now);
            return;
        }
        std::optional<request_handle> handle;
        if (!resolve_queue.empty()) {
            handle = resolve_queue.front();
            resolve_queue.pop_front();
        } else {
            handle = options_.take(member, now);
        }
        if (!handle) {
            options_.release(*connection);
            return;
        }
        requests_.at(*handle).connection = *connection;
        fire(*handle, request_event::connection_ready, now);
    }
}

void request_engine::evidence_changed(const std::string& group, instant now)
{
    for (const request_handle handle : std::exchange(evidence_waiters_[group], {})) {
        const auto found = requests_.find(handle);
        if (found != requests_.end()) {
            found->second.awaits_evidence = false;
            fire(handle, request_event::evidence_changed, now);
        }
    }
    const group_view& view = options_.view(group);
    const std::pair present{view.term(), view.primary()};
    if (std::exchange(last_primaries_[group], present) != present) {
        std::vector<request_handle> handles;
        for (const auto& [handle, subject] : requests_) {
            if (subject.request->group == group) {
                handles.push_back(handle);
            }
        }
        for (const request_handle handle : handles) {
            fire(handle, request_event::route_changed, now);
        }
    }
    run_deferred(now);
}

void request_engine::routes_changed(instant now)
{
    std::vector<request_handle> handles;
    for (const auto& [handle, subject] : requests_) {
        handles.push_back(handle);
    }
    for (const request_handle handle : handles) {
        fire(handle, request_event::route_changed, now);
    }
    run_deferred(now);
}

void request_engine::member_unreachable(const member_key& member, instant now)
{
    std::vector<request_handle> handles;
    for (const auto& [handle, subject] : requests_) {
        if (subject.member == member) {
            handles.push_back(handle);
        }
    }
    for (const request_handle handle : handles) {
        fire(handle, request_event::member_unreachable, now);
    }
    run_deferred(now);
}

void request_engine::connection_lost(connection_number connection, instant now)
{
    const auto found = std::find_if(exchanges_.begin(), exchanges_.end(), [&](const auto& entry) {
        return requests_.at(entry.second).connection == connection;
    });
    if (found != exchanges_.end()) {
        const request_handle handle = found->second;
        exchanges_.erase(found);
        fire(handle, request_event::call_lost, now);
    }
    run_deferred(now);
}

void request_engine::tick(instant now)
{
    while (const auto timer = timers_.pop_due(now)) {
        const auto found = requests_.find(timer->handle);
        const bool pause = timer->event == request_event::pause_over;
        if (found != requests_.end() && (!pause || timer->pause == found->second.pauses)) {
            fire(timer->handle, timer->event, now);
        }
    }
    run_deferred(now);
}

void request_engine::fire(request_handle handle, request_event event, instant now)
{
    const auto found = requests_.find(handle);
    std::optional<request_event> next = event;
    while (found != requests_.end() && next) {
        request_state& subject = found->second;
        step_context step{.engine = *this, .subject = subject, .now = now};
        subject.state = program_.fire(subject.state, *next, step).state;
        next = step.follow_up;
        if (program_.is_final(subject.state)) {
            requests_.erase(found);
            options_.request_ended(handle, now);
            return;
        }
    }
}

bool request_engine::evidence_sufficient(const request_state& subject) const
{
    if (is_read(subject.request) && !subject.to_primary) {
        return true; // The replica has checked the minimum position itself.
    }
    const bool cancelled = subject.answer->verdict == member_verdict::cancelled;
    if (subject.config->evidence == evidence_kind::primary && !cancelled) {
        return true;
    }
    const group_view& view = options_.view(subject.request->group);
    // An answer without a position is valid only if the member was still primary when it answered.
    const bool must_verify_term = subject.verify_term || subject.answer->position->index == 0;
    return view.confirmed(subject.answer->position) &&
           (!must_verify_term || view.term_held_since(subject.answer->term, subject.sent_at));
}

bool request_engine::position_lost(const request_state& subject) const
{
    const group_view& view = options_.view(subject.request->group);
    const bool must_verify_term = subject.verify_term || subject.answer->position->index == 0;
    return view.superseded(subject.answer->position) || (must_verify_term && view.term() > subject.answer->term);
}

bool request_engine::retry_allowed(const request_state& subject, instant now) const
{
    return now + retry_pause_limit(subject.retries) < subject.request->deadline &&
           budget_.allows(options_.retry_percent(), now);
}

bool request_engine::member_suitable(const request_state& subject) const
{
    if (is_read(subject.request) && !subject.to_primary) {
        return options_.routes->accepts_requests(*subject.member);
    }
    return options_.routes->route_write(subject.request->group)->member == subject.member;
}

route_decision request_engine::find_route(const request_state& subject, instant now) const
{
    const std::string& group = subject.request->group;
    return is_read(subject.request) ? options_.routes->route_read(group, subject.requirement, subject.progress, now)
                                    : options_.routes->route_write(group);
}

void request_engine::route(step_context& step)
{
    request_state& subject = step.subject;
    apply_route(step, step.engine.find_route(subject, step.now));
    if (!subject.member) {
        subject.progress.waited = true;
    }
}

void request_engine::route_resolve(step_context& step)
{
    const auto primary = step.engine.options_.routes->primary(step.subject.request->group);
    apply_route(step, route_decision{{.member = primary, .primary = true, .wait = initial_retry_pause}});
}

void request_engine::apply_route(step_context& step, const route_decision& decision)
{
    step.subject.member = decision->member;
    step.subject.member_bit = decision->member_bit;
    step.subject.to_primary = decision->primary;
    step.subject.pause = decision->wait;
    step.follow_up = decision->member ? request_event::member_found : request_event::must_wait;
}

void request_engine::arm(request_state& subject, const std::string& timer, instant now)
{
    if (timer == "deadline") {
        timers_.arm(subject.request->deadline,
                    {.handle = subject.request->handle, .event = request_event::deadline_passed});
        return;
    }
    timers_.arm(now + subject.pause,
                {.handle = subject.request->handle, .event = request_event::pause_over, .pause = ++subject.pauses});
}

void request_engine::join_queue(request_state& subject, instant now)
{
    options_.enqueue(subject.request, *subject.member, now);
    options_.routes->change_load(*subject.member, 1);
    subject.counted_in_load = true;
    members_to_serve_.insert(*subject.member);
}

void request_engine::join_resolves(request_state& subject)
{
    resolve_queues_[*subject.member].push_back(subject.request->handle);
    members_to_serve_.insert(*subject.member);
}

void request_engine::leave_queue(request_state& subject, instant now)
{
    options_.withdraw(subject.request->handle);
    std::erase(resolve_queues_[*subject.member], subject.request->handle);
    detach_from_member(subject, now);
}

/// Detaches the request from its member: its load, its exchange and its connection.
void request_engine::detach_from_member(request_state& subject, instant now)
{
    options_.exchange_ended(subject.request->handle, now);
    if (std::exchange(subject.counted_in_load, false)) {
        options_.routes->change_load(*subject.member, -1);
    }
    exchanges_.erase(std::exchange(subject.exchange, 0));
    subject.connection = 0;
    members_to_serve_.insert(*subject.member);
}

void request_engine::send(request_state& subject, member_call call, instant now)
{
    subject.exchange = options_.next_number();
    subject.sent_at = now;
    subject.call_term = call->term;
    exchanges_.emplace(subject.exchange, subject.request->handle);
    options_.send(
        upstream_command::start(subject.connection, subject.exchange, std::move(call), subject.request->deadline));
}

void request_engine::send_statement(request_state& subject, instant now)
{
    const caller_request& request = subject.request;
    member_call_fields call{.operation = member_operation::statement,
                            .term = options_.view(request->group).term(),
                            .request_id = request->request_id,
                            .kind = request->kind,
                            .statement = request->statement};
    if (is_commit(request)) {
        call.operation = member_operation::commit;
        call.kind = statement_kind::write;
    } else if (is_read(request)) {
        auto least = options_.routes->minimum_position(request->group, subject.requirement, now);
        subject.verify_term = subject.requirement->linearizable || !least;
        if (!least) {
            const auto any_age =
                with(subject.requirement, [](read_requirement_fields& fields) { fields.max_staleness.reset(); });
            least = options_.routes->minimum_position(request->group, any_age, now);
        }
        call.minimum = least.value_or(log_position{});
    }
    send(subject, member_call{std::move(call)}, now);
}

void request_engine::send_resolve(request_state& subject, instant now)
{
    const caller_request& request = subject.request;
    send(subject,
         member_call{{.operation = member_operation::resolve,
                      .term = options_.view(request->group).term(),
                      .request_id = request->request_id,
                      .kind = statement_kind::write}},
         now);
}

void request_engine::await_evidence(request_state& subject, bool poll_group)
{
    if (!std::exchange(subject.awaits_evidence, true)) {
        evidence_waiters_[subject.request->group].push_back(subject.request->handle);
    }
    if (poll_group) {
        groups_to_poll_.insert(subject.request->group);
    }
}

void request_engine::plan_retry(request_state& subject, instant now)
{
    budget_.count_retry(now);
    const duration bound = retry_pause_limit(subject.retries++);
    const auto half = static_cast<std::uint64_t>(bound.count()) / 2;
    subject.pause = duration(static_cast<std::int64_t>(half + options_.random() % (half + 1)));
}

void request_engine::answer_done(const request_state& subject)
{
    const session_token session = subject.request->session.value_or(session_token{});
    options_.answer(caller_answer{{.handle = subject.request->handle,
                                   .evidence = subject.evidence,
                                   .result = subject.answer->result,
                                   .session = session.seen(subject.request->group, subject.answer->position)}});
}

void request_engine::answer_failure(const request_state& subject, error_kind kind, const std::string& detail,
                                    std::optional<duration> retry_after)
{
    // After a call with an unknown effect, "not run" is correct only if the log of a majority proves it.
    assert(!subject.in_doubt || error_row_for(kind).effect != outcome::not_run ||
           subject.evidence == evidence_kind::majority);
    caller_answer_fields fields{.handle = subject.request->handle,
                                .failure = kind,
                                .detail = detail,
                                .evidence = subject.evidence,
                                .session = subject.request->session.value_or(session_token{}),
                                .retry_after = retry_after};
    if (kind == error_kind::conflict) {
        fields.result = subject.answer->result;
        fields.session = fields.session.seen(subject.request->group, subject.answer->position);
    }
    options_.answer(caller_answer{std::move(fields)});
}

} // namespace citronfall
