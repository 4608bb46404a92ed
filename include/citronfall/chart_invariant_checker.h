#pragma once

#include "citronfall/chart.h"
#include "citronfall/result.h"

#include <cstddef>

namespace citronfall {

/// Model checker for charts: explores every path and checks the declared invariants.
class chart_invariant_checker {
public:
    /// Precondition: `subject` outlives the checker.
    explicit chart_invariant_checker(const chart& subject) : subject_(subject) {}

    /// Returns the number of (state, history) pairs explored. Error (bad_request): names the chart, the violated
    /// invariant and the sequence of events that violates it. Thread-safe.
    [[nodiscard]] result<std::size_t> check() const;

private:
    const chart& subject_;
};

} // namespace citronfall
