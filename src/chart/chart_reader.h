#pragma once

#include "citronfall/chart.h"

namespace citronfall {

/// Parses a chart from JSON and validates it.
class chart_reader {
public:
    /// Implements chart::make(). Thread-safe.
    [[nodiscard]] static result<chart> read(const chart_source& source);
};

} // namespace citronfall
