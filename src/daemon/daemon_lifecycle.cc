#include "daemon/daemon_lifecycle.h"

#include <utility>

namespace citronfall {

result<daemon_lifecycle> daemon_lifecycle::make(daemon_lifecycle_options options)
{
    auto definition = chart::make_embedded("daemon");
    if (!ok(definition)) {
        return error_of(definition);
    }
    auto states = program::make(take(std::move(definition)), bindings());
    if (!ok(states)) {
        return error_of(states);
    }
    return daemon_lifecycle{std::move(options), take(std::move(states))};
}

daemon_lifecycle::daemon_lifecycle(daemon_lifecycle_options options, program states)
    : options_(std::move(options)), program_(std::move(states)), state_(program_.initial())
{
}

chart_bindings<daemon_lifecycle::step_context> daemon_lifecycle::bindings()
{
    using context = step_context;
    return {.events = {"document_accepted", "drain", "work_finished", "drain_expired"},
            .guards = {{"has_work",
                        [](const context& step) {
                            return step.subject.options_.work_in_progress() > 0;
                        }}},
            .actions = {{"report_ready",
                         [](context& step) {
                             step.subject.ready_ = true;
                             step.subject.options_.log("daemon is serving requests");
                         }},
                        {"report_leaving",
                         [](context& step) {
                             step.subject.leaving_ = true;
                             step.subject.options_.log("daemon is draining");
                         }},
                        {"report_cut",
                         [](context& step) {
                             step.subject.options_.log("drain time limit reached, requests aborted: " +
                                                       std::to_string(step.subject.options_.work_in_progress()));
                         }},
                        {"stop",
                         [](context& step) {
                             step.subject.drain_expires_.reset();
                             step.subject.options_.stop();
                         }}},
            .arm_timer = [](context& step, const chart_timer&) {
                step.subject.drain_expires_ = step.now + step.subject.options_.drain_bound;
            }};
}

void daemon_lifecycle::document_accepted(instant now)
{
    fire(lifecycle_event::document_accepted, now);
}

void daemon_lifecycle::drain(instant now)
{
    fire(lifecycle_event::drain, now);
}

void daemon_lifecycle::tick(instant now)
{
    if (!leaving_) {
        return;
    }
    if (options_.work_in_progress() == 0) {
        fire(lifecycle_event::work_finished, now);
    } else if (drain_expires_ && *drain_expires_ <= now) {
        fire(lifecycle_event::drain_expired, now);
    }
}

void daemon_lifecycle::fire(lifecycle_event event, instant now)
{
    if (program_.is_final(state_)) {
        return;
    }
    step_context step{.subject = *this, .now = now};
    state_ = program_.fire(state_, event, step).state;
}

} // namespace citronfall
