#pragma once

#include "citronfall/instant.h"

#include <cstdint>
#include <vector>

namespace citronfall {

/// Histogram with logarithmic buckets from 1 us to 100 s; a bucket's bounds differ by less than 5%.
///
/// Not thread-safe: owned by one thread.
class latency_histogram {
public:
    latency_histogram();

    /// Records one duration. Durations outside the range are counted in the first or last bucket.
    void record(duration value);

    /// Number of recorded durations.
    [[nodiscard]] std::uint64_t count() const { return count_; }

    /// Smallest bucket bound that at least `fraction` of the durations do not exceed; 0 if none was
    /// recorded. Precondition: 0 <= fraction <= 1.
    [[nodiscard]] duration quantile(double fraction) const;

    /// Longest recorded duration.
    [[nodiscard]] duration max() const { return max_; }

private:
    std::vector<std::uint64_t> buckets_;
    std::uint64_t count_ = 0;
    duration max_{};
};

} // namespace citronfall
