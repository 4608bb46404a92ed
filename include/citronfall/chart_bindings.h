#pragma once

#include "citronfall/chart_timer.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronfall {

/// Binds the names in a chart to code for instances described by a Context.
template <class Context>
struct chart_bindings {
    std::vector<std::string> events;                                   ///< In the order of the event enumeration.
    std::map<std::string, std::function<bool(const Context&)>> guards; ///< One for each guard of the chart.
    std::map<std::string, std::function<void(Context&)>> actions;      ///< One for each action of the chart.
    std::function<void(Context&, const chart_timer&)> arm_timer{};     ///< Required if any state has timers.
};

} // namespace citronfall
