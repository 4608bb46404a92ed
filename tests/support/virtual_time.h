#pragma once

#include "citronfall/instant.h"
#include "load/virtual_time.h"

#include <cstdint>
#include <functional>
#include <random>
#include <utility>

namespace citronfall::testing {

/// Scheduler for simulated time with a seeded random generator. The same seed gives the same run.
class virtual_time {
public:
    explicit virtual_time(std::uint64_t seed) : random_(seed) {}

    [[nodiscard]] instant now() const { return actions_.now(); }
    void at(instant when, std::function<void()> action) { actions_.at(when, std::move(action)); }
    void after(duration delay, std::function<void()> action) { actions_.after(delay, std::move(action)); }
    void run_until(instant end) { actions_.run_until(end); }

    /// A random number in [0, below). Precondition: below > 0.
    [[nodiscard]] std::uint64_t draw(std::uint64_t below) { return random_() % below; }

    /// A random duration between 0.5 and 1.5 times `mean`.
    [[nodiscard]] duration vary(duration mean);

    /// A uniform 64-bit random number.
    [[nodiscard]] std::uint64_t random_number() { return random_(); }

private:
    load::virtual_time actions_{instant(std::chrono::hours(1))};
    std::mt19937_64 random_;
};

} // namespace citronfall::testing
