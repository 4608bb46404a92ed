#pragma once

#include "citronfall/instant.h"

namespace citronfall {

/// Moving average of the time in which a member answers a statement, including the time queued on the member. Without
/// new answers it decays towards a default.
///
/// Not thread-safe: owned by the decision thread.
class latency_estimate {
public:
    /// Adds a sample: a statement was answered after `latency`.
    void answered(duration latency, instant now);

    /// Estimate at `now`. Without new answers it approaches `typical`, so that a member that was avoided for its
    /// latency is tried again.
    [[nodiscard]] duration at(instant now, duration typical) const;

    /// Whether there is any sample.
    [[nodiscard]] bool measured() const { return measured_; }

private:
    duration value_{};
    instant updated_at_{};
    bool measured_ = false;
};

} // namespace citronfall
