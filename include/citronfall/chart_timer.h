#pragma once

#include "citronfall/immutable.h"

#include <string>

namespace citronfall {

struct chart_timer_fields {
    std::string timer; ///< Name of the timeout; the arm_timer hook knows its length.
    std::string event; ///< Event to fire if the state is not left before the timeout.

    friend auto operator<=>(const chart_timer_fields&, const chart_timer_fields&) = default;
};

/// Timer that is armed on entry to its state.
class chart_timer : public immutable<chart_timer_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
