#include "gateway/gateway_lifecycle.h"

#include "chart/embedded_program.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Time until the load balancer sends no more connections here: it probes once a second and removes a daemon after two
/// failed probes. The caller of a session that is closed earlier would reconnect to this daemon.
constexpr duration out_of_rotation = std::chrono::milliseconds(1500);

/// Part of the grace period that is reserved for the exit of the process.
constexpr duration end_reserve = std::chrono::milliseconds(1000);

/// Time to send the last answers and the call that ends the lease.
constexpr duration last_bytes_time = std::chrono::milliseconds(100);

} // namespace

result<std::unique_ptr<gateway_lifecycle>> gateway_lifecycle::make(gateway_lifecycle_options options,
                                                                   session_table& sessions)
{
    std::unique_ptr<gateway_lifecycle> made(new gateway_lifecycle(std::move(options), sessions));
    if (const auto bound = made->bind(); !ok(bound)) {
        return error_of(bound);
    }
    return made;
}

result<done> gateway_lifecycle::bind()
{
    auto made = make_embedded_program<event, context>("gateway", bindings());
    if (!ok(made)) {
        return error_of(made);
    }
    program_.emplace(take(std::move(made)));
    state_ = program_->initial();
    return done{};
}

chart_bindings<gateway_lifecycle::context> gateway_lifecycle::bindings()
{
    return {
        .events = {"able", "unable", "terminate", "sessions_gone", "half_due", "end_due", "left_due"},
        .guards = {},
        .actions =
            {
                {"report_ready",
                 [](context& each) {
                     each.lifecycle.options_.ready(true);
                 }},
                {"report_unready",
                 [](context& each) {
                     each.lifecycle.options_.ready(false);
                 }},
                {"start_drain",
                 [](context& each) {
                     each.lifecycle.drain_started_ = each.now;
                     each.lifecycle.options_.log("drain_started",
                                                 "sessions=" + std::to_string(each.lifecycle.sessions_.size()));
                     each.lifecycle.options_.leave(each.now);
                 }},
                {"end_transactions",
                 [](context& each) {
                     gateway_lifecycle& lifecycle = each.lifecycle;
                     lifecycle.options_.log("drain_half_over",
                                            "sessions=" + std::to_string(lifecycle.sessions_.size()));
                 }},
                {"close_sessions",
                 [](context& each) {
                     for (const session_number session : each.lifecycle.sessions_.sessions()) {
                         each.lifecycle.sessions_.close_now(session, each.now);
                     }
                 }},
                {"stop",
                 [](context& each) {
                     each.lifecycle.options_.stop();
                 }},
            },
        .arm_timer = [](context& each, const chart_timer& timer) { each.lifecycle.arm(timer, each.now); },
    };
}

void gateway_lifecycle::fire(event what, instant now)
{
    context each{.lifecycle = *this, .now = now};
    const state_id before = state_;
    state_ = program_->fire(state_, what, each).state;
    if (before != state_) {
        options_.log("lifecycle", "from=" + program_->state_name(before) + " to=" + program_->state_name(state_));
    }
}

void gateway_lifecycle::arm(const chart_timer& timer, instant now)
{
    const std::map<std::string, duration> bounds = {{"half_grace", options_.grace / 2},
                                                    {"grace", options_.grace / 2 - end_reserve},
                                                    {"last_bytes", last_bytes_time}};
    const event due = program_->event(timer->event);
    options_.at(now + bounds.at(timer->timer), [this, due](instant at) { fire(due, at); });
}

void gateway_lifecycle::able(bool can_serve, instant now)
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
    if (sessions_.size() == 0 && now - *drain_started_ > out_of_rotation) {
        fire(event::sessions_gone, now);
    }
}

bool gateway_lifecycle::accepts(instant now) const
{
    return !drain_started_ || now - *drain_started_ <= out_of_rotation;
}

/// Once the load balancer has noticed the drain, closes each session after its next answer, and sessions that stay idle
/// at random instants within the first half of the grace period.
void gateway_lifecycle::close_due_sessions(instant now)
{
    const instant first = *drain_started_ + out_of_rotation;
    if (now < first) {
        return;
    }
    const auto spread = static_cast<std::uint64_t>(
        std::max<duration>(options_.grace / 2 - out_of_rotation, std::chrono::milliseconds(100)).count());
    for (const session_number session : sessions_.sessions()) {
        const auto [place, added] = close_at_.try_emplace(session);
        if (added) {
            place->second = first + duration(static_cast<duration::rep>(options_.random(spread)));
        }
        sessions_.close_after_answer(session);
        if (now >= place->second) {
            sessions_.close_when_idle(session, now);
        }
        const bool half_over = now - *drain_started_ > options_.grace / 2;
        if (half_over && sessions_.busy(session) && !sessions_.has_unanswered_statement(session)) {
            sessions_.close_now(session, now); // Idle in a transaction that has used up its time.
        }
    }
}

} // namespace citronfall
