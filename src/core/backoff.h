#pragma once

#include "citronfall/instant.h"

#include <algorithm>

namespace citronfall {

/// Exponential backoff: each delay is twice the previous one, up to a maximum. Not thread-safe.
class backoff {
public:
    /// Precondition: 0 < first <= longest.
    constexpr backoff(duration first, duration longest) : first_(first), longest_(longest), next_(first) {}

    /// The delay after another failure.
    duration next_delay()
    {
        const duration pause = next_;
        next_ = std::min(next_ * 2, longest_);
        return pause;
    }

    /// Starts over after an attempt succeeded.
    void reset() { next_ = first_; }

private:
    duration first_;
    duration longest_;
    duration next_;
};

} // namespace citronfall
