#pragma once

#include "citronfall/chart.h"
#include "citronfall/result.h"

#include <cstddef>

namespace citronfall {

/// Walks every path of a chart and checks its declared invariants.
class chart_invariant_checker {
public:
    /// Precondition: `subject` outlives the explorer.
    explicit chart_invariant_checker(const chart& subject) : subject_(subject) {}

    /// Returns the number of (state, history) pairs visited, or bad_request with the chart, the invariant and the path
    /// of events that breaks it. Thread-safe.
    [[nodiscard]] result<std::size_t> check() const;

private:
    const chart& subject_;
};

} // namespace citronfall
