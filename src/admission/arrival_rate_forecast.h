#pragma once

#include "citronfall/instant.h"

#include <cstdint>

namespace citronfall {

/// Forecast of the rate at which requests for one member arrive.
///
/// Not thread-safe: owned by the decision thread.
class arrival_rate_forecast {
public:
    /// Counts one arrival.
    void arrived(instant now);

    /// Expected arrival rate one window ahead, in requests per second: the rate of the last complete window plus its
    /// increase over the window before. A falling rate is not extrapolated.
    [[nodiscard]] double expected_rate(instant now);

private:
    void advance(instant now);

    instant window_start_;
    std::uint32_t current_count_ = 0;
    std::uint32_t last_count_ = 0;
    std::uint32_t previous_count_ = 0;
};

} // namespace citronfall
