#pragma once

#include "citronfall/instant.h"

#include <cstddef>
#include <deque>

namespace citronfall {

/// Number of daemons among which quotas are divided: the most that were registered at any time of the last seconds.
///
/// After a start the number is not known until the registrations of daemons that start at the same time have arrived;
/// else each of them would take itself for one of few. Not thread-safe: owned by the decision thread.
class daemon_count {
public:
    /// Reports how many daemons are registered. Call it at least every few seconds.
    void listed(std::size_t daemons, instant now);

    /// The number to divide by; 0 if it is not known yet.
    [[nodiscard]] std::size_t value(instant now) const;

private:
    struct observation {
        instant at{};
        std::size_t daemons = 0;
    };

    instant first_listed_at_{};          ///< When this daemon first knew of another, or of itself.
    std::deque<observation> decreasing_; ///< Observations that no later one exceeds, oldest first.
};

} // namespace citronfall
