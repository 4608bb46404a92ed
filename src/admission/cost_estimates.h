#pragma once

#include "admission/class_key.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <map>

namespace citronfall {

/// Moving averages of the running times of each class, and the classification into short and long classes.
///
/// Not thread-safe: owned by the decision thread.
class cost_estimates {
public:
    /// Adds the running time of one request.
    void record(const class_key& key, duration service);

    /// Expected running time of a request of the class; a default until one is measured.
    [[nodiscard]] duration expected(const class_key& key, bool declared_long) const;

    /// Mean running time of the cheapest class; a default until one is measured.
    [[nodiscard]] duration cheapest() const;

    /// Whether the class counts as long. The declaration decides until enough requests are measured; then the measured
    /// time does, because a declaration may be missing or wrong.
    [[nodiscard]] bool is_long(const class_key& key, bool declared_long, duration threshold) const;

    /// Whether a request that has run for `elapsed` counts as long, whatever its class.
    [[nodiscard]] bool exceeds_long_threshold(duration elapsed, duration threshold) const;

private:
    struct estimate {
        double mean_us = 0;
        std::uint32_t samples = 0;
    };

    std::map<class_key, estimate> classes_;
    double cheapest_us_ = 0; ///< Lowest mean that has enough samples; 0: none.
};

} // namespace citronfall
