#pragma once

#include "gateway/gateway_report.h"

#include <string>

namespace citronfall {

/// Renders a report as JSON. Durations are in whole milliseconds, null if unknown. Thread-safe.
[[nodiscard]] std::string report_json(const gateway_report& report);

} // namespace citronfall
