#pragma once

#include "citronfall/instant.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace citronfall {

/// Timers of one thread, ordered by due time. Not thread-safe.
template <class Timer>
class timer_queue {
public:
    /// Adds a timer that is due at `due`. Timers with the same due time are returned in insertion order.
    void arm(instant due, Timer timer) { timers_.emplace(due, std::move(timer)); }

    /// Removes and returns the earliest timer that is due at `now`, if any.
    [[nodiscard]] std::optional<Timer> pop_due(instant now)
    {
        if (timers_.empty() || timers_.begin()->first > now) {
            return std::nullopt;
        }
        std::optional<Timer> due = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        return due;
    }

    /// Removes the earliest timers for which `is_void` holds, so that next() does not name a time at which nothing is
    /// left to do.
    template <class Predicate>
    void drop_void(const Predicate& is_void)
    {
        while (!timers_.empty() && is_void(timers_.begin()->second)) {
            timers_.erase(timers_.begin());
        }
    }

    /// Due time of the earliest timer, if there is one.
    [[nodiscard]] std::optional<instant> next() const
    {
        return timers_.empty() ? std::nullopt : std::optional(timers_.begin()->first);
    }

private:
    std::multimap<instant, Timer> timers_;
};

} // namespace citronfall
