#pragma once

#include "citronfall/chart.h"

namespace citronfall {

/// Result of delivering an event to an instance.
struct chart_step {
    state_id state{};     ///< State after the event.
    bool handled = false; ///< False if the state ignores the event.

    friend auto operator<=>(const chart_step&, const chart_step&) = default;
};

} // namespace citronfall
