#pragma once

#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace citronfall::soak {

/// What a fault harms.
enum class fault_kind {
    kill_daemon,    ///< The process is killed and started again.
    stop_daemon,    ///< The process is asked to end and started again.
    pause_daemon,   ///< The process stands still.
    hang_up_daemon, ///< The process reads its settings again.
    store,          ///< The store refuses, is silent, loses answers or carries calls out late.
    store_history,  ///< The store forgets its history.
    store_link,     ///< Link of one daemon to the store.
    member_link,    ///< Link of all daemons to one member.
    crash_member,
    drain_member, ///< The member announces its end and takes that back.
    replica_lag,
    configure, ///< The operators change the configuration.
};

/// Name for reports. Thread-safe.
[[nodiscard]] const char* fault_kind_name(fault_kind kind);

/// One fault of a plan.
struct planned_fault {
    duration at{}; ///< From the start of the run.
    duration length{};
    fault_kind kind = fault_kind::configure;
    std::size_t target = 0;  ///< Daemon or member.
    std::size_t variant = 0; ///< How, where a kind has several ways.

    friend auto operator<=>(const planned_fault&, const planned_fault&) = default;
};

/// Size of a run.
struct fault_plan_options {
    std::uint64_t seed = 1;
    duration length{}; ///< All faults end within it.
    std::size_t daemons = 3;
    std::size_t members = 3;
};

/// Faults in order of time; they come in series and overlap. The same for the same options. Thread-safe.
[[nodiscard]] std::vector<planned_fault> make_fault_plan(const fault_plan_options& options);

/// One line for reports. Thread-safe.
[[nodiscard]] std::string describe(const planned_fault& fault);

} // namespace citronfall::soak
