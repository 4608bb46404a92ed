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

/// Index of a state within its chart. An instance stores its current state as one.
enum class state_id : std::uint16_t {};

/// Source text of a chart.
struct chart_source {
    std::string_view file; ///< Name used in error messages.
    std::string_view text; ///< JSON; docs/design.md section 3 describes the format.
};

/// State chart, parsed from JSON and validated. Immutable after make(), hence thread-safe.
class chart {
public:
    /// Parses and validates a chart. Errors (bad_request) name the file and the state: malformed JSON, unknown keys or
    /// target states, unreachable states, a non-final state that neither handles nor ignores one of the chart's events,
    /// guarded transitions without an unguarded one as the last, or, if the chart has final states, a state from which
    /// none can be reached.
    [[nodiscard]] static result<chart> make(const chart_source& source);

    /// Returns a chart that is compiled into the binary. Errors as make(), and bad_request for an unknown name.
    [[nodiscard]] static result<chart> make_embedded(std::string_view name);

    [[nodiscard]] const std::string& name() const { return name_; }

    /// State in which instances start.
    [[nodiscard]] state_id initial() const { return initial_; }

    /// All states, indexed by state_id.
    [[nodiscard]] const std::vector<chart_state>& states() const { return states_; }

    /// Precondition: `id` belongs to this chart.
    [[nodiscard]] const chart_state& state(state_id id) const { return states_[static_cast<std::size_t>(id)]; }

    /// Finds a state by name. Error (bad_request) if there is none.
    [[nodiscard]] result<state_id> find(std::string_view state_name) const;

    /// Names of all events that the chart handles, ignores or fires from timers; sorted.
    [[nodiscard]] const std::vector<std::string>& events() const { return events_; }

    /// Names of all guards; sorted.
    [[nodiscard]] const std::vector<std::string>& guards() const { return guards_; }

    /// Names of all actions; sorted.
    [[nodiscard]] const std::vector<std::string>& actions() const { return actions_; }

    /// Declared invariants, checked by `chart_invariant_checker`.
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
