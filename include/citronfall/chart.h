#pragma once

#include "citronfall/chart_invariant.h"
#include "citronfall/chart_state.h"
#include "citronfall/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace citronfall {

/// Index of a state within its chart. The current state of an instance is one such value.
enum class state_id : std::uint16_t {};

/// What a chart is read from.
struct chart_source {
    std::string_view file; ///< Name used in error texts.
    std::string_view text; ///< JSON; docs/design.md section 3 describes the format.
};

/// A state chart, read from JSON and checked. Immutable after make(), hence thread-safe.
class chart {
public:
    /// Reads and checks a chart. Errors (bad_request) name the file and the state: malformed JSON, unknown keys or
    /// target states, unreachable states, a non-final state that neither handles nor ignores an event of the chart, a
    /// guarded transition without an unguarded last one, no path from a state to a final state where final states
    /// exist.
    [[nodiscard]] static result<chart> make(const chart_source& source);

    /// Reads one of the charts that are compiled into the binary. Errors as make(); unknown name is bad_request.
    [[nodiscard]] static result<chart> make_embedded(std::string_view name);

    /// Name of the chart.
    [[nodiscard]] const std::string& name() const { return name_; }

    /// The state in which instances start.
    [[nodiscard]] state_id initial() const { return initial_; }

    /// All states, indexed by state_id.
    [[nodiscard]] const std::vector<chart_state>& states() const { return states_; }

    /// One state. Precondition: `id` belongs to this chart.
    [[nodiscard]] const chart_state& state(state_id id) const { return states_[static_cast<std::size_t>(id)]; }

    /// The state of that name. Error (bad_request) if there is none.
    [[nodiscard]] result<state_id> find(std::string_view state_name) const;

    /// Names of all events that the chart handles, ignores or fires from timers; sorted.
    [[nodiscard]] const std::vector<std::string>& events() const { return events_; }

    /// Names of all guards; sorted.
    [[nodiscard]] const std::vector<std::string>& guards() const { return guards_; }

    /// Names of all actions; sorted.
    [[nodiscard]] const std::vector<std::string>& actions() const { return actions_; }

    /// The declared invariants, which chart_invariant_checker checks.
    [[nodiscard]] const std::vector<chart_invariant>& invariants() const { return invariants_; }

private:
    chart() = default;

    std::string name_;
    state_id initial_{};
    std::vector<chart_state> states_;
    std::vector<std::string> events_;
    std::vector<std::string> guards_;
    std::vector<std::string> actions_;
    std::vector<chart_invariant> invariants_;

    friend class chart_reader;
};

} // namespace citronfall
