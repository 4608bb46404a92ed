#pragma once

#include "citronfall/instant.h"

namespace citronfall {

/// Moving estimate of how long a member takes to answer a statement, its queue included. Follows recent
/// answers and falls back without them.
///
/// Not thread-safe: owned by the decision thread.
class latency_estimate {
public:
    /// A statement was answered after `latency`.
    void answered(duration latency, instant now);

    /// Estimate at `now`. Without answers it falls towards `typical`, so that a member that was avoided is tried again.
    [[nodiscard]] duration at(instant now, duration typical) const;

    /// Whether anything was measured.
    [[nodiscard]] bool measured() const { return measured_; }

private:
    duration value_{};
    instant seen_{};
    bool measured_ = false;
};

} // namespace citronfall
