#include "gateway/gateway_lifecycle.h"

#include "chart/embedded_program.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Time until the load balancer sends no more connections here: it probes once a second and removes a daemon after two
/// failed probes. The caller of a session that is closed earlier would reconnect to this daemon.
constexpr duration balancer_removal_time = std::chrono::milliseconds(1500);

/// Part of the grace period that is reserved for the exit of the process.
constexpr duration exit_reserve = std::chrono::milliseconds(1000);

/// Time to send the last answers and the call that revokes the lease.
constexpr duration final_send_time = std::chrono::milliseconds(100);

/// Part of the exit reserve that is left once the caller thread has had its time to send the last answers.
constexpr duration last_answers_margin = std::chrono::milliseconds(300);

} // namespace

result<std::unique_ptr<gateway_lifecycle>> gateway_lifecycle::make(gateway_lifecycle_options options,
                                                                   session_table& sessions)
{
    std::unique_ptr<gateway_lifecycle> lifecycle(new gateway_lifecycle(std::move(options), sessions));
    if (const auto bound = lifecycle->bind(); !ok(bound)) {
        return error_of(bound);
    }
    return lifecycle;
}

result<done> gateway_lifecycle::bind()
{
    auto program = make_embedded_program<event, context>("gateway", bindings());
    if (!ok(program)) {
        return error_of(program);
    }
    program_.emplace(take(std::move(program)));
    state_ = program_->initial();
    return done{};
}

chart_bindings<gateway_lifecycle::context> gateway_lifecycle::bindings()
{
    return {
        .events = {"able", "unable", "terminate", "sessions_gone", "half_due", "end_due", "answers_due", "left_due"},
        .guards = {},
        .actions =
            {
                {"report_ready",
                 [](context& ctx) {
                     ctx.lifecycle.options_.set_ready(true);
                 }},
                {"report_unready",
                 [](context& ctx) {
                     ctx.lifecycle.options_.set_ready(false);
                 }},
                {"start_drain",
                 [](context& ctx) {
                     ctx.lifecycle.drain_started_ = ctx.now;
                     ctx.lifecycle.options_.log("drain_started",
                                                "sessions=" + std::to_string(ctx.lifecycle.sessions_.size()));
                     ctx.lifecycle.options_.release_registration(ctx.now);
                 }},
                {"end_transactions",
                 [](context& ctx) {
                     gateway_lifecycle& lifecycle = ctx.lifecycle;
                     lifecycle.options_.log("drain_half_over",
                                            "sessions=" + std::to_string(lifecycle.sessions_.size()));
                 }},
                {"end_statements",
                 [](context& ctx) {
                     for (const session_number session : ctx.lifecycle.sessions_.sessions()) {
                         ctx.lifecycle.sessions_.end_statements(session, ctx.now);
                     }
                 }},
                {"stop",
                 [](context& ctx) {
                     ctx.lifecycle.sessions_.report_process_end();
                     ctx.lifecycle.options_.stop();
                 }},
            },
        .arm_timer = [](context& ctx, const chart_timer& timer) { ctx.lifecycle.arm(timer, ctx.now); },
    };
}

void gateway_lifecycle::fire(event fired, instant now)
{
    context ctx{.lifecycle = *this, .now = now};
    const state_id before = state_;
    state_ = program_->fire(state_, fired, ctx).state;
    if (before != state_) {
        options_.log("lifecycle", "from=" + program_->state_name(before) + " to=" + program_->state_name(state_));
    }
}

void gateway_lifecycle::arm(const chart_timer& timer, instant now)
{
    const std::map<std::string, duration> bounds = {{"half_grace", options_.grace / 2},
                                                    {"grace", options_.grace / 2 - exit_reserve},
                                                    {"last_answers", exit_reserve - last_answers_margin},
                                                    {"last_bytes", final_send_time}};
    const event due = program_->event(timer->event);
    options_.call_at(now + bounds.at(timer->timer), [this, due](instant at) { fire(due, at); });
}

void gateway_lifecycle::set_can_serve(bool can_serve, instant now)
{
    fire(can_serve ? event::able : event::unable, now);
}

void gateway_lifecycle::terminate(instant now)
{
    fire(event::terminate, now);
}

void gateway_lifecycle::tick(instant now)
{
    if (!drain_started_ || program_->is_final(state_)) {
        return;
    }
    close_due_sessions(now);
    if (now - *drain_started_ > options_.grace / 2) {
        options_.end_relayed_transactions(now);
    }
    if (sessions_.size() == 0 && !options_.works_for_peers() && now - *drain_started_ > balancer_removal_time) {
        fire(event::sessions_gone, now);
    }
}

bool gateway_lifecycle::accepts(instant now) const
{
    return !drain_started_ || now - *drain_started_ <= balancer_removal_time;
}

/// Once the load balancer has noticed the drain, closes each session after its next answer, and sessions that stay idle
/// at random instants within the first half of the grace period.
void gateway_lifecycle::close_due_sessions(instant now)
{
    const instant first = *drain_started_ + balancer_removal_time;
    if (now < first) {
        return;
    }
    const auto idle_close_period = static_cast<std::uint64_t>(
        std::max<duration>(options_.grace / 2 - balancer_removal_time, std::chrono::milliseconds(100)).count());
    for (const session_number session : sessions_.sessions()) {
        const auto [planned, added] = close_at_.try_emplace(session);
        if (added) {
            planned->second = first + duration(static_cast<duration::rep>(options_.random(idle_close_period)));
        }
        sessions_.close_after_answer(session);
        if (now >= planned->second) {
            sessions_.close_when_idle(session);
        }
        const bool half_over = now - *drain_started_ > options_.grace / 2;
        if (half_over && sessions_.busy(session) && !sessions_.has_unanswered_statement(session)) {
            sessions_.end_transaction(session, now); // Idle in a transaction that has used up its time.
        }
    }
}

} // namespace citronfall
