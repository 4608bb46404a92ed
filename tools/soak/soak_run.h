#pragma once

#include "citronfall/instant.h"
#include "soak/cut_check.h"
#include "soak/fault_plan.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace citronfall::soak {

/// Settings of a run.
struct soak_options {
    std::string program; ///< Path of citronfalld.
    std::string folder;  ///< Folder for settings and logs; created if it is missing.
    std::uint64_t seed = 1;
    duration length = std::chrono::seconds(10); ///< Duration of load and faults.
    std::size_t daemons = 3;
    std::size_t members = 3;
    std::size_t callers = 12;
    std::uint32_t max_connections = 20; ///< Connections that a member accepts.
    std::uint32_t sync_replicas = 0;    ///< Replicas that must have received a commit before it is acknowledged.
    plan_kind plan = plan_kind::faults;
    duration signal_age{}; ///< Age from which a daemon gets signals; earlier ones are sent then.
};

/// Results of a run.
struct soak_report {
    std::vector<std::string> violations; ///< Violations, one line each.
    std::vector<std::string> faults;     ///< The planned faults, one line each.
    std::size_t operations = 0;
    std::size_t succeeded = 0; ///< Operations whose last statement succeeded.
    std::size_t commits = 0;
    std::vector<cut_finding> unanswered; ///< Statements without a complete answer.
    std::size_t promotions = 0;
};

/// Runs daemon processes on loopback behind proxies, with stand-ins for the rest of the platform, injects the faults of
/// the seed and checks the guarantees. Blocks until the daemons have ended. Throws std::runtime_error if the run cannot
/// start.
[[nodiscard]] soak_report run_soak(const soak_options& options);

} // namespace citronfall::soak
