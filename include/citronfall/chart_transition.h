#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

struct chart_transition_fields {
    std::string event;
    std::string guard;                ///< Empty: unconditional.
    bool negated = false;             ///< Taken if the guard is false ("if": "!name").
    std::vector<std::string> actions; ///< In order of execution.
    std::uint16_t target = 0;         ///< Index of the next state.
    bool internal = false;            ///< Does not leave the state, so its timers keep running.

    friend auto operator<=>(const chart_transition_fields&, const chart_transition_fields&) = default;
};

/// Transition of a state on an event.
class chart_transition : public immutable<chart_transition_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
