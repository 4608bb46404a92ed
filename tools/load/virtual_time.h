#pragma once

#include "citronfall/instant.h"

#include <algorithm>
#include <functional>
#include <map>
#include <utility>

namespace citronfall::load {

/// Event queue in virtual time: runs actions in order of their time. Single-threaded and deterministic.
class virtual_time {
public:
    virtual_time() = default;
    explicit virtual_time(instant start) : now_(start) {}

    /// Current virtual time.
    [[nodiscard]] instant now() const { return now_; }

    /// Schedules `action` at `when`, or now if that has passed. Actions at the same time run in the order in which they
    /// were added.
    void at(instant when, std::function<void()> action) { actions_.emplace(std::max(when, now_), std::move(action)); }

    /// Schedules `action` after `delay`.
    void after(duration delay, std::function<void()> action) { at(now_ + delay, std::move(action)); }

    /// Runs all actions due until `end`, and calls `observe` after each.
    void run_until(
        instant end, const std::function<void()>& observe = [] {})
    {
        while (!actions_.empty() && actions_.begin()->first <= end) {
            auto next = actions_.extract(actions_.begin());
            now_ = next.key();
            next.mapped()();
            observe();
        }
        now_ = end;
    }

private:
    instant now_{std::chrono::seconds(1000)};
    std::multimap<instant, std::function<void()>> actions_;
};

} // namespace citronfall::load
