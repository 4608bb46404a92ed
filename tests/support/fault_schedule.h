#pragma once

#include "support/fault.h"
#include "support/virtual_callers.h"

#include <string>
#include <vector>

namespace citronfall::testing {

/// What one run of a deployment with callers and faults showed.
struct fault_schedule_outcome {
    std::vector<std::string> broken; ///< Broken rules, and "recovery:" if the deployment did not become whole again.
    std::size_t operations = 0;
    std::size_t confirmed = 0;           ///< Bookings confirmed.
    std::size_t committed = 0;           ///< Transactions confirmed.
    std::size_t changes = 0;             ///< Changes of primary that were completed.
    std::optional<duration> longest_gap; ///< Longest time between two confirmed bookings; absent with fewer than two.
    std::vector<std::string> log;        ///< Lines of the daemons and of the schedule.
};

/// Runs one seeded schedule: callers ask for four seconds while faults come and go; then all faults end.
class fault_schedule {
public:
    /// Each fault begins at a random instant of the second and the third second. `prepare` may replace hooks of the
    /// world before it starts to serve.
    [[nodiscard]] static fault_schedule_outcome run(std::uint64_t seed, const std::vector<fault>& faults,
                                                    const std::function<void(virtual_deployment&)>& prepare = {},
                                                    std::uint32_t connections_per_member = 100);

    /// Two to four faults chosen by the seed; the same fault can come twice.
    [[nodiscard]] static std::vector<fault> draw_faults(std::uint64_t seed);
};

} // namespace citronfall::testing
