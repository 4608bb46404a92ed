#pragma once

#include "gateway/gateway_report.h"

#include <string>

namespace citronfall {

/// A report as JSON. Durations are whole milliseconds, null where nothing is known. Thread-safe.
[[nodiscard]] std::string report_json(const gateway_report& report);

} // namespace citronfall
