#pragma once

#include "admission/class_key.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <map>

namespace citronfall {

/// Adaptive limit on the requests that one daemon runs on a member concurrently, from the gradient of the member's
/// latency.
///
/// Each window compares the mean latency of each class with the baseline: the lowest window mean of that class, which
/// drifts slowly upwards. Clearly higher latency means that requests queue on the member, and the limit shrinks in
/// proportion; otherwise it grows by one if it was reached. Not thread-safe: owned by the decision thread.
class concurrency_limit {
public:
    /// Starts at `slots`, the number of statements that the member runs concurrently.
    explicit concurrency_limit(std::uint32_t slots);

    /// Current limit; at least 1.
    [[nodiscard]] std::uint32_t value() const { return static_cast<std::uint32_t>(limit_); }

    /// Adds the latency of one request. `limit_reached` tells whether the limit was reached while it ran.
    void record(const class_key& key, duration latency, bool limit_reached, instant now);

private:
    struct class_window {
        double sum_us = 0;
        std::uint32_t count = 0;
        double baseline_us = 0; ///< 0: unknown.
    };

    void close_window();

    double limit_;
    double max_limit_;
    std::map<class_key, class_window> classes_;
    std::uint32_t samples_ = 0;
    bool limit_reached_ = false;
    instant window_start_;
};

} // namespace citronfall
