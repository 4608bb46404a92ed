#pragma once

#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace citronfall::soak {

/// Kind of a fault.
enum class fault_kind {
    kill_daemon,    ///< The process is killed and restarted.
    stop_daemon,    ///< The process is shut down and restarted.
    pause_daemon,   ///< The process is suspended.
    hang_up_daemon, ///< The process gets SIGHUP and reloads its settings.
    store,          ///< The store refuses calls, ignores them, or executes them without an answer, at once or late.
    store_history,  ///< The store drops its history of changes.
    store_link,     ///< The link of one daemon to the store.
    member_link,    ///< The links of all daemons to one member.
    crash_member,
    drain_member, ///< The member announces that it drains, and later withdraws that.
    replica_lag,
    configure,   ///< Operators change the configuration.
    late_orders, ///< Some orders to members and promotions get no answer and are carried out late.
};

/// Name for reports. Thread-safe.
[[nodiscard]] const char* fault_kind_name(fault_kind kind);

/// What a plan consists of.
enum class plan_kind {
    faults,       ///< Planned work and unplanned faults, but for late orders.
    late_orders,  ///< The same, and late orders.
    planned_work, ///< Shutdowns, reloads and changes of the configuration only.
};

/// Whether a kind of fault is planned work of operators. Thread-safe.
[[nodiscard]] bool is_planned_work(fault_kind kind);

/// A scheduled fault.
struct planned_fault {
    duration at{}; ///< From the start of the run.
    duration length{};
    fault_kind kind = fault_kind::configure;
    std::size_t target = 0;  ///< Index of the daemon or member.
    std::size_t variant = 0; ///< Selects among the variants of a kind.

    friend auto operator<=>(const planned_fault&, const planned_fault&) = default;
};

/// Options of make_fault_plan().
struct fault_plan_options {
    std::uint64_t seed = 1;
    duration length{}; ///< All faults end within it.
    std::size_t daemons = 3;
    std::size_t members = 3;
    plan_kind kind = plan_kind::faults;
};

/// Generates faults, but for those of plan_kind::planned_work in order of time; some come in series, and they overlap.
/// Deterministic for the same options. Thread-safe.
[[nodiscard]] std::vector<planned_fault> make_fault_plan(const fault_plan_options& options);

/// Describes a fault in one line for reports. Thread-safe.
[[nodiscard]] std::string describe(const planned_fault& fault);

} // namespace citronfall::soak
