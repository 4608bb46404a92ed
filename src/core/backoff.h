#pragma once

#include "citronfall/instant.h"

#include <algorithm>

namespace citronfall {

/// Pauses between attempts that keep failing: each is twice the one before, up to a bound. Not thread-safe.
class backoff {
public:
    /// Precondition: 0 < first <= longest.
    constexpr backoff(duration first, duration longest) : first_(first), longest_(longest), next_(first) {}

    /// The pause after one more failure.
    duration next_delay()
    {
        const duration pause = next_;
        next_ = std::min(next_ * 2, longest_);
        return pause;
    }

    /// An attempt succeeded.
    void reset() { next_ = first_; }

private:
    duration first_;
    duration longest_;
    duration next_;
};

} // namespace citronfall
