#pragma once

#include "citronfall/instant.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace citronfall {

/// Timers of one duty, ordered by the instant at which they are due. Not thread-safe: owned by one thread.
template <class Timer>
class timer_queue {
public:
    /// Adds a timer that is due at `due`. Timers of the same instant are due in the order in which they were added.
    void arm(instant due, Timer timer) { timers_.emplace(due, std::move(timer)); }

    /// Removes and returns the oldest timer that is due at `now`, if any.
    [[nodiscard]] std::optional<Timer> pop_due(instant now)
    {
        if (timers_.empty() || timers_.begin()->first > now) {
            return std::nullopt;
        }
        std::optional<Timer> due = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        return due;
    }

    /// When the next timer is due, if there is one.
    [[nodiscard]] std::optional<instant> next() const
    {
        return timers_.empty() ? std::nullopt : std::optional(timers_.begin()->first);
    }

private:
    std::multimap<instant, Timer> timers_;
};

} // namespace citronfall
