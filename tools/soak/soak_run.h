#pragma once

#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace citronfall::soak {

/// Settings of a run.
struct soak_options {
    std::string program; ///< Path of citronfalld.
    std::string folder;  ///< For settings and logs; it exists.
    std::uint64_t seed = 1;
    duration length = std::chrono::seconds(10); ///< Time with faults.
    std::size_t daemons = 3;
    std::size_t members = 3;
    std::size_t callers = 12;
};

/// What a run saw.
struct soak_report {
    std::vector<std::string> broken; ///< Rules, one line each; empty: none.
    std::vector<std::string> faults; ///< As they were planned.
    std::size_t operations = 0;
    std::size_t succeeded = 0; ///< Operations whose last statement succeeded.
    std::size_t commits = 0;
    std::size_t promotions = 0;
};

/// Runs daemons as processes on loopback behind proxies, with stand-ins for the rest of the platform, harms them as the
/// seed tells and checks the promises. Blocks until the daemons have ended. Throws std::runtime_error if the run cannot
/// start.
[[nodiscard]] soak_report run_soak(const soak_options& options);

} // namespace citronfall::soak
