#include "citronfall/chart_invariant_checker.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace citronfall {
namespace {

/// Facts about the path so far that the invariant depends on, besides the state.
struct path_facts {
    bool action_seen = false;
    bool other_seen = false;

    friend auto operator<=>(const path_facts&, const path_facts&) = default;
};

using node = std::pair<std::uint16_t, path_facts>;

std::string describe(const chart_invariant& invariant)
{
    switch (invariant->rule) {
    case chart_rule::at_most_once:
        return "at most once: " + invariant->action;
    case chart_rule::never_after:
        return invariant->action + " never after " + invariant->other;
    case chart_rule::always_before:
        return invariant->action + " always after " + invariant->other;
    }
    return {};
}

bool violates(const chart_invariant& invariant, const path_facts& facts)
{
    switch (invariant->rule) {
    case chart_rule::at_most_once:
        return facts.action_seen;
    case chart_rule::never_after:
        return facts.other_seen;
    case chart_rule::always_before:
        return !facts.other_seen;
    }
    return false;
}

/// Whether the transition can be taken under the invariant's assumptions about guards.
bool possible(const chart_invariant& invariant, const chart_transition& transition)
{
    const auto assumed = invariant->assume.find(transition->guard);
    return assumed == invariant->assume.end() || assumed->second != transition->negated;
}

/// Whether the assumptions imply that an earlier transition on the same event is always taken instead.
bool preempted(const chart_invariant& invariant, const chart_state& state, std::size_t position)
{
    for (std::size_t i = 0; i < position; ++i) {
        const chart_transition& earlier = state->transitions[i];
        if (earlier->event == state->transitions[position]->event && invariant->assume.contains(earlier->guard) &&
            possible(invariant, earlier)) {
            return true;
        }
    }
    return false;
}

/// The facts after the transition, or nothing if one of its actions violates the invariant.
std::optional<path_facts> advance(const chart_invariant& invariant, const chart_transition& transition,
                                  path_facts facts)
{
    for (const std::string& action : transition->actions) {
        if (action == invariant->action) {
            if (violates(invariant, facts)) {
                return std::nullopt;
            }
            facts.action_seen = true;
        }
        if (action == invariant->other) {
            facts.other_seen = true;
        }
    }
    return facts;
}

std::string path_to(const std::map<node, std::pair<node, std::string>>& parents, node at)
{
    std::vector<std::string> events;
    for (auto step = parents.find(at); step != parents.end(); step = parents.find(at)) {
        events.push_back(step->second.second);
        at = step->second.first;
    }
    std::string path;
    for (auto event = events.rbegin(); event != events.rend(); ++event) {
        path += " " + *event;
    }
    return path;
}

result<std::size_t> check_invariant(const chart& subject, const chart_invariant& invariant)
{
    const node start{static_cast<std::uint16_t>(subject.initial()), path_facts{}};
    std::map<node, std::pair<node, std::string>> parents;
    std::vector<node> seen{start};
    std::deque<node> pending{start};
    while (!pending.empty()) {
        const node current = pending.front();
        pending.pop_front();
        const chart_state& state = subject.states()[current.first];
        for (std::size_t i = 0; i < state->transitions.size(); ++i) {
            const chart_transition& transition = state->transitions[i];
            if (!possible(invariant, transition) || preempted(invariant, state, i)) {
                continue;
            }
            const auto facts = advance(invariant, transition, current.second);
            if (!facts) {
                return error{{.kind = error_kind::bad_request,
                              .detail = "chart " + subject.name() + " breaks \"" + describe(invariant) +
                                        "\" by:" + path_to(parents, current) + " " + transition->event + " in state " +
                                        state->name}};
            }
            const node next{transition->target, *facts};
            if (std::find(seen.begin(), seen.end(), next) == seen.end()) {
                seen.push_back(next);
                parents.emplace(next, std::pair{current, transition->event});
                pending.push_back(next);
            }
        }
    }
    return seen.size();
}

} // namespace

result<std::size_t> chart_invariant_checker::check() const
{
    std::size_t visited = 0;
    for (const chart_invariant& invariant : subject_.invariants()) {
        auto checked = check_invariant(subject_, invariant);
        if (!ok(checked)) {
            return checked;
        }
        visited += value_of(checked);
    }
    return visited;
}

} // namespace citronfall
