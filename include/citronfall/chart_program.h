#pragma once

#include "citronfall/chart.h"
#include "citronfall/chart_bindings.h"
#include "citronfall/chart_step.h"
#include "citronfall/result.h"

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace citronfall {

/// Interpreter of a chart for instances described by a Context. No other code changes the state of an instance.
///
/// Names are resolved once, in make(). An event costs one table look-up, its guards and its actions. `Event` is an enum
/// class numbered from 0 in the order of chart_bindings::events. Immutable after make(), hence thread-safe as long as
/// the bound functions are.
template <class Event, class Context>
class chart_program {
public:
    /// Resolves the chart's names in the bindings. Errors (bad_request) name the chart and the first name that is used
    /// but not bound, or bound but not used.
    [[nodiscard]] static result<chart_program> make(chart subject, chart_bindings<Context> bindings);

    /// State in which instances start. Use start() instead if its timers are to be armed.
    [[nodiscard]] state_id initial() const { return chart_.initial(); }

    /// Arms the timers of the initial state and returns it.
    state_id start(Context& context) const
    {
        arm_timers(chart_.initial(), context);
        return chart_.initial();
    }

    /// Delivers an event to an instance in `state`. Runs the actions of the first transition whose guard holds, then
    /// arms the timers of the entered state. Actions must not deliver events to the same instance.
    chart_step fire(state_id state, Event event, Context& context) const
    {
        const auto& row = rows_[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)];
        for (const bound_transition& candidate : row) {
            if (candidate.guard && candidate.guard(context) == candidate.negated) {
                continue;
            }
            for (const auto& action : candidate.actions) {
                action(context);
            }
            if (!candidate.internal) {
                arm_timers(candidate.target, context);
            }
            return {.state = candidate.target, .handled = true};
        }
        return {.state = state, .handled = false};
    }

    /// Whether `state` has a transition on the event.
    [[nodiscard]] bool handles(state_id state, Event event) const
    {
        return !rows_[static_cast<std::size_t>(state)][static_cast<std::size_t>(event)].empty();
    }

    /// Whether `state` is final.
    [[nodiscard]] bool is_final(state_id state) const { return chart_.state(state)->final; }

    /// Name of a state, for logs and status pages.
    [[nodiscard]] const std::string& state_name(state_id state) const { return chart_.state(state)->name; }

    /// Finds an event by name, for timers. Precondition: the event exists.
    [[nodiscard]] Event event(const std::string& name) const
    {
        const auto found = std::find(bindings_.events.begin(), bindings_.events.end(), name);
        assert(found != bindings_.events.end());
        return static_cast<Event>(found - bindings_.events.begin());
    }

    [[nodiscard]] const chart& subject() const { return chart_; }

private:
    struct bound_transition {
        std::function<bool(const Context&)> guard;
        bool negated = false;
        std::vector<std::function<void(Context&)>> actions;
        state_id target{};
        bool internal = false;
    };

    chart_program(chart subject, chart_bindings<Context> bindings)
        : chart_(std::move(subject)), bindings_(std::move(bindings))
    {
        rows_.reserve(chart_.states().size());
        for (const chart_state& state : chart_.states()) {
            rows_.push_back(bind_state(state));
        }
    }

    std::vector<std::vector<bound_transition>> bind_state(const chart_state& state) const
    {
        std::vector<std::vector<bound_transition>> row(bindings_.events.size());
        for (const chart_transition& transition : state->transitions) {
            bound_transition bound{.guard = {},
                                   .negated = transition->negated,
                                   .actions = {},
                                   .target = static_cast<state_id>(transition->target),
                                   .internal = transition->internal};
            if (!transition->guard.empty()) {
                bound.guard = bindings_.guards.at(transition->guard);
            }
            for (const std::string& action : transition->actions) {
                bound.actions.push_back(bindings_.actions.at(action));
            }
            row[static_cast<std::size_t>(event(transition->event))].push_back(std::move(bound));
        }
        return row;
    }

    void arm_timers(state_id entered, Context& context) const
    {
        for (const chart_timer& timer : chart_.state(entered)->timers) {
            bindings_.arm_timer(context, timer);
        }
    }

    static error mismatch(const chart& subject, const std::string& what, const std::string& name)
    {
        return error{{.kind = error_kind::bad_request, .detail = "chart " + subject.name() + ": " + what + " " + name}};
    }

    template <class Map>
    static std::vector<std::string> keys(const Map& map)
    {
        std::vector<std::string> names;
        for (const auto& [name, bound] : map) {
            names.push_back(name);
        }
        return names;
    }

    /// First name in `used` that is not in `known`; empty if there is none.
    static std::string first_missing(const std::vector<std::string>& used, const std::vector<std::string>& known)
    {
        for (const std::string& name : used) {
            if (std::find(known.begin(), known.end(), name) == known.end()) {
                return name;
            }
        }
        return {};
    }

    chart chart_;
    chart_bindings<Context> bindings_;
    std::vector<std::vector<std::vector<bound_transition>>> rows_;
};

template <class Event, class Context>
result<chart_program<Event, Context>> chart_program<Event, Context>::make(chart subject,
                                                                          chart_bindings<Context> bindings)
{
    struct name_set {
        std::string what;
        const std::vector<std::string>& used;
        std::vector<std::string> known;
    };
    const name_set sets[] = {{"event", subject.events(), bindings.events},
                             {"guard", subject.guards(), keys(bindings.guards)},
                             {"action", subject.actions(), keys(bindings.actions)}};
    for (const name_set& set : sets) {
        if (const auto name = first_missing(set.used, set.known); !name.empty()) {
            return mismatch(subject, "unknown " + set.what, name);
        }
        if (const auto name = first_missing(set.known, set.used); !name.empty()) {
            return mismatch(subject, "unused " + set.what, name);
        }
    }
    const bool has_timers = std::any_of(subject.states().begin(), subject.states().end(),
                                        [](const chart_state& state) { return !state->timers.empty(); });
    if (has_timers && !bindings.arm_timer) {
        return mismatch(subject, "timers without an arm_timer hook in", subject.name());
    }
    return chart_program{std::move(subject), std::move(bindings)};
}

} // namespace citronfall
