#include "chart/chart_reader.h"

#include <algorithm>
#include <deque>
#include <set>
#include <stdexcept>
#include <string>

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

/// Thrown by the functions that read parts of a chart. chart_reader::read() returns its text as an error.
class chart_format_error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

[[noreturn]] void fail(const std::string& where, const std::string& what)
{
    throw chart_format_error(where + ": " + what);
}

void check_keys(const json& object, const std::set<std::string>& allowed, const std::string& where)
{
    if (!object.is_object()) {
        fail(where, "expected an object");
    }
    for (const auto& [key, value] : object.items()) {
        if (!allowed.contains(key)) {
            fail(where, "unknown key " + key);
        }
    }
}

std::vector<std::string> strings(const json& object, const char* key)
{
    return object.contains(key) ? object.at(key).get<std::vector<std::string>>() : std::vector<std::string>{};
}

/// Index of each state by name. States are numbered in the order of their sorted names.
class state_index {
public:
    explicit state_index(const json& states)
    {
        for (const auto& [name, state] : states.items()) {
            names_.push_back(name);
        }
    }

    [[nodiscard]] std::uint16_t find(const std::string& name, const std::string& where) const
    {
        const auto found = std::find(names_.begin(), names_.end(), name);
        if (found == names_.end()) {
            fail(where, "unknown state " + name);
        }
        return static_cast<std::uint16_t>(found - names_.begin());
    }

private:
    std::vector<std::string> names_;
};

chart_transition read_transition(const json& source, const std::string& event, std::uint16_t source_state,
                                 const state_index& index, const std::string& where)
{
    check_keys(source, {"if", "do", "to"}, where);
    std::string guard = source.value("if", "");
    const bool negated = guard.starts_with('!');
    if (negated) {
        guard.erase(0, 1);
    }
    const bool internal = !source.contains("to");
    return chart_transition{{.event = event,
                             .guard = guard,
                             .negated = negated,
                             .actions = strings(source, "do"),
                             .target = internal ? source_state : index.find(source.at("to").get<std::string>(), where),
                             .internal = internal}};
}

std::vector<chart_transition> read_transitions(const json& state, std::uint16_t source_state, const state_index& index,
                                               const std::string& where)
{
    std::vector<chart_transition> transitions;
    if (!state.contains("on")) {
        return transitions;
    }
    for (const auto& [event, list] : state.at("on").items()) {
        const std::string location = where + ", event " + event;
        if (!list.is_array() || list.empty()) {
            fail(location, "expected a list of transitions");
        }
        for (const json& source : list) {
            transitions.push_back(read_transition(source, event, source_state, index, location));
        }
        for (std::size_t i = 0; i < list.size(); ++i) {
            const bool last = i + 1 == list.size();
            if (list[i].contains("if") == last) {
                fail(location, last ? "the last transition has a guard" : "a transition before the last has no guard");
            }
        }
    }
    return transitions;
}

std::vector<chart_timer> read_timers(const json& state, const std::string& where)
{
    std::vector<chart_timer> timers;
    if (!state.contains("after")) {
        return timers;
    }
    for (const json& source : state.at("after")) {
        check_keys(source, {"timer", "event"}, where);
        timers.push_back(chart_timer{{.timer = source.at("timer"), .event = source.at("event")}});
    }
    return timers;
}

chart_invariant read_invariant(const json& source, const std::string& where)
{
    check_keys(source, {"at_most_once", "never_after", "always_before", "assume"}, where);
    const auto assume = source.value("assume", std::map<std::string, bool>{});
    if (source.contains("at_most_once")) {
        return chart_invariant{
            {.rule = chart_rule::at_most_once, .action = source.at("at_most_once"), .other = {}, .assume = assume}};
    }
    if (source.contains("never_after")) {
        const json& body = source.at("never_after");
        check_keys(body, {"action", "after"}, where);
        return chart_invariant{{.rule = chart_rule::never_after,
                                .action = body.at("action"),
                                .other = body.at("after"),
                                .assume = assume}};
    }
    if (source.contains("always_before")) {
        const json& body = source.at("always_before");
        check_keys(body, {"action", "before"}, where);
        return chart_invariant{{.rule = chart_rule::always_before,
                                .action = body.at("action"),
                                .other = body.at("before"),
                                .assume = assume}};
    }
    fail(where, "invariant without a rule");
}

std::vector<std::string> sorted(const std::set<std::string>& names)
{
    return {names.begin(), names.end()};
}

std::vector<bool> reachable_from(const std::vector<chart_state>& states, std::size_t start)
{
    std::vector<bool> seen(states.size(), false);
    std::deque<std::size_t> pending{start};
    seen[start] = true;
    while (!pending.empty()) {
        const std::size_t current = pending.front();
        pending.pop_front();
        for (const chart_transition& transition : states[current]->transitions) {
            if (!seen[transition->target]) {
                seen[transition->target] = true;
                pending.push_back(transition->target);
            }
        }
    }
    return seen;
}

void check_reachability(const std::vector<chart_state>& states, state_id initial, const std::string& file)
{
    const auto seen = reachable_from(states, static_cast<std::size_t>(initial));
    const bool has_final =
        std::any_of(states.begin(), states.end(), [](const chart_state& state) { return state->final; });
    for (std::size_t i = 0; i < states.size(); ++i) {
        if (!seen[i]) {
            fail(file + ", state " + states[i]->name, "unreachable");
        }
    }
    for (std::size_t i = 0; i < states.size(); ++i) {
        const auto reachable = reachable_from(states, i);
        bool reaches_final = !has_final;
        for (std::size_t j = 0; j < states.size(); ++j) {
            reaches_final = reaches_final || (reachable[j] && states[j]->final);
        }
        if (!reaches_final) {
            fail(file + ", state " + states[i]->name, "no path to a final state");
        }
    }
}

void check_completeness(const std::vector<chart_state>& states, const std::set<std::string>& events,
                        const std::string& file)
{
    for (const chart_state& state : states) {
        std::set<std::string> covered(state->ignored.begin(), state->ignored.end());
        for (const chart_transition& transition : state->transitions) {
            if (std::find(state->ignored.begin(), state->ignored.end(), transition->event) != state->ignored.end()) {
                fail(file + ", state " + state->name, "event both handled and ignored: " + transition->event);
            }
            covered.insert(transition->event);
        }
        if (state->final) {
            if (!state->transitions.empty() || !state->timers.empty()) {
                fail(file + ", state " + state->name, "a final state has transitions or timers");
            }
            continue;
        }
        for (const std::string& event : events) {
            if (!covered.contains(event)) {
                fail(file + ", state " + state->name, "event neither handled nor ignored: " + event);
            }
        }
    }
}

} // namespace

result<chart> chart_reader::read(const chart_source& source)
{
    const std::string file(source.file);
    try {
        const json root = json::parse(source.text);
        check_keys(root, {"name", "initial", "states", "invariants"}, file);
        const json& states = root.at("states");
        const state_index index(states);
        chart read;
        read.name_ = root.at("name").get<std::string>();
        read.initial_ = static_cast<state_id>(index.find(root.at("initial").get<std::string>(), file));
        std::set<std::string> events;
        std::set<std::string> guards;
        std::set<std::string> actions;
        for (const auto& [name, body] : states.items()) {
            const std::string where = file + ", state " + name;
            check_keys(body, {"on", "after", "ignore", "final"}, where);
            const chart_state state{{.name = name,
                                     .final = body.value("final", false),
                                     .transitions = read_transitions(body, index.find(name, where), index, where),
                                     .timers = read_timers(body, where),
                                     .ignored = strings(body, "ignore")}};
            for (const chart_transition& transition : state->transitions) {
                events.insert(transition->event);
                actions.insert(transition->actions.begin(), transition->actions.end());
                if (!transition->guard.empty()) {
                    guards.insert(transition->guard);
                }
            }
            for (const chart_timer& timer : state->timers) {
                events.insert(timer->event);
            }
            read.states_.push_back(state);
        }
        for (const chart_state& state : read.states_) {
            for (const std::string& event : state->ignored) {
                if (!events.contains(event)) {
                    fail(file + ", state " + state->name, "ignores unknown event " + event);
                }
            }
        }
        check_completeness(read.states_, events, file);
        check_reachability(read.states_, read.initial_, file);
        for (const json& invariant : root.value("invariants", json::array())) {
            read.invariants_.push_back(read_invariant(invariant, file + ", invariants"));
        }
        for (const chart_invariant& invariant : read.invariants_) {
            if (!actions.contains(invariant->action) ||
                (!invariant->other.empty() && !actions.contains(invariant->other))) {
                fail(file + ", invariants", "unknown action " + invariant->action + " or " + invariant->other);
            }
            for (const auto& [guard, value] : invariant->assume) {
                if (!guards.contains(guard)) {
                    fail(file + ", invariants", "unknown guard " + guard);
                }
            }
        }
        read.events_ = sorted(events);
        read.guards_ = sorted(guards);
        read.actions_ = sorted(actions);
        return read;
    } catch (const chart_format_error& problem) {
        return error{{.kind = error_kind::bad_request, .detail = problem.what()}};
    } catch (const json::exception& problem) {
        return error{{.kind = error_kind::bad_request, .detail = file + ": " + problem.what()}};
    }
}

} // namespace citronfall
