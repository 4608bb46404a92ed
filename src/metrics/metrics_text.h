#pragma once

#include "citronfall/metrics_report.h"

#include <string>

namespace citronfall {

/// Renders a metrics report as text: one `name value` line per counter and per quantile, durations in seconds.
/// Thread-safe.
[[nodiscard]] std::string metrics_text(const metrics_report& report);

} // namespace citronfall
