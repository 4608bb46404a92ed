#pragma once

#include "citronfall/chart_timer.h"
#include "citronfall/chart_transition.h"
#include "citronfall/immutable.h"

#include <string>
#include <vector>

namespace citronfall {

struct chart_state_fields {
    std::string name;
    bool final = false;
    std::vector<chart_transition> transitions; ///< Those of one event are in the order of evaluation.
    std::vector<chart_timer> timers;
    std::vector<std::string> ignored; ///< Events that have no effect in this state.

    friend auto operator<=>(const chart_state_fields&, const chart_state_fields&) = default;
};

/// State of a chart.
class chart_state : public immutable<chart_state_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
