#pragma once

#include "support/fault.h"
#include "support/virtual_callers.h"

#include <string>
#include <vector>

namespace citronfall::testing {

/// Results of one run of a deployment with callers and faults.
struct fault_schedule_outcome {
    std::vector<std::string> violations; ///< Violated rules; "recovery:" if the deployment did not recover.
    std::size_t operations = 0;
    std::size_t confirmed = 0;           ///< Confirmed bookings.
    std::size_t committed = 0;           ///< Confirmed transactions.
    std::size_t changes = 0;             ///< Completed changes of primary.
    std::optional<duration> longest_gap; ///< Longest time between two confirmed bookings; absent if fewer than two.
    std::vector<std::string> log;        ///< Injected faults and log lines of the daemons.
};

/// Runs a deployment under a seeded schedule of faults: callers send requests for four seconds while faults begin and
/// end; then all faults end.
class fault_schedule {
public:
    /// Each fault begins at a random time between 0.5 and 2.5 s. `prepare` may set hooks of the deployment before it
    /// starts to serve.
    [[nodiscard]] static fault_schedule_outcome run(std::uint64_t seed, const std::vector<fault>& faults,
                                                    const std::function<void(virtual_deployment&)>& prepare = {},
                                                    std::uint32_t connections_per_member = 100);

    /// Two to four faults chosen by the seed; the same fault can occur twice.
    [[nodiscard]] static std::vector<fault> draw_faults(std::uint64_t seed);
};

} // namespace citronfall::testing
