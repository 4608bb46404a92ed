#include "gateway/daemon_start.h"

#include "chart/embedded_program.h"

#include <map>
#include <utility>

namespace citronfall {
namespace {

/// Longest wait for the list of daemons after the configuration. Both come from the store in a few answers; a store
/// that serves only one of them must not keep the daemon from its callers.
constexpr duration list_wait = std::chrono::milliseconds(1000);

/// Longest wait for a connection to a daemon of each service. Daemons that are switched on together start within 300 ms
/// of each other, and one that does not connect is replaced after 500 ms.
constexpr duration relay_wait = std::chrono::milliseconds(800);

} // namespace

result<std::unique_ptr<daemon_start>> daemon_start::make(daemon_start_options options)
{
    std::unique_ptr<daemon_start> start(new daemon_start(std::move(options)));
    if (const auto bound = start->bind(); !ok(bound)) {
        return error_of(bound);
    }
    return start;
}

result<done> daemon_start::bind()
{
    auto program = make_embedded_program<event, context>("daemon_start", bindings());
    if (!ok(program)) {
        return error_of(program);
    }
    program_.emplace(take(std::move(program)));
    state_ = program_->initial();
    return done{};
}

chart_bindings<daemon_start::context> daemon_start::bindings()
{
    return {
        .events = {"configured", "listed", "list_overdue", "relays_connected", "relays_overdue"},
        .guards = {},
        .actions =
            {
                {"connect",
                 [](context& each) {
                     each.start.options_.connect(each.now);
                 }},
                {"accept_callers",
                 [](context& each) {
                     each.start.options_.accept_callers(each.now);
                 }},
                {"note_list_missing",
                 [](context& each) {
                     each.start.options_.log("start_without_daemons", "reason=list_not_read");
                 }},
                {"note_relays_missing",
                 [](context& each) {
                     each.start.options_.log("start_without_relays", "reason=not_connected");
                 }},
            },
        .arm_timer = [](context& each, const chart_timer& timer) { each.start.arm(timer, each.now); },
    };
}

void daemon_start::fire(event fired, instant now)
{
    context each{.start = *this, .now = now};
    const state_id before = state_;
    state_ = program_->fire(state_, fired, each).state;
    if (before != state_) {
        options_.log("daemon_start", "from=" + program_->state_name(before) + " to=" + program_->state_name(state_));
    }
}

void daemon_start::arm(const chart_timer& timer, instant now)
{
    const std::map<std::string, duration> waits = {{"list_wait", list_wait}, {"relay_wait", relay_wait}};
    const event due = program_->event(timer->event);
    options_.call_at(now + waits.at(timer->timer), [this, due](instant at) { fire(due, at); });
}

void daemon_start::update(const start_progress& progress, instant now)
{
    if (progress.configured) {
        fire(event::configured, now);
    }
    if (progress.listed) {
        fire(event::listed, now);
    }
}

bool daemon_start::may_connect() const
{
    return accepts_callers() || program_->handles(state_, event::relays_connected);
}

} // namespace citronfall
