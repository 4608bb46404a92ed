#pragma once

#include "citronfall/instant.h"

#include <cstdint>

namespace citronfall {

/// How many operations of a tenant arrive at this daemon, over the last second or two. Not thread-safe.
class demand_rate {
public:
    /// Counts an operation.
    void add(instant now)
    {
        roll(now);
        ++current_;
    }

    /// Operations a second.
    [[nodiscard]] double per_second(instant now)
    {
        roll(now);
        const double into_current = std::chrono::duration<double>(now - began_at_).count();
        return previous_ * (1 - into_current) + current_;
    }

private:
    static constexpr duration period = std::chrono::seconds(1);

    void roll(instant now)
    {
        if (now - began_at_ >= 2 * period) {
            previous_ = 0;
            current_ = 0;
            began_at_ = now;
        } else if (now - began_at_ >= period) {
            previous_ = current_;
            current_ = 0;
            began_at_ += period;
        }
    }

    instant began_at_{}; ///< Start of the current period.
    std::uint32_t current_ = 0;
    std::uint32_t previous_ = 0; ///< Of the period before.
};

} // namespace citronfall
