#pragma once

#include "citronfall/instant.h"
#include "standin/member_work.h"

#include <cstddef>
#include <vector>

namespace citronfall::soak {

/// Kind of planned work.
enum class planned_work_kind {
    stop,      ///< SIGTERM.
    reload,    ///< SIGHUP.
    configure, ///< A change of the configuration; concerns all daemons.
};

/// Work on a daemon that its operators plan.
struct planned_work {
    planned_work_kind kind = planned_work_kind::stop;
    std::size_t daemon = 0;
    instant at{};

    friend auto operator<=>(const planned_work&, const planned_work&) = default;
};

/// Time in which an unplanned fault was in force.
struct fault_period {
    instant from{};
    instant until{};

    friend auto operator<=>(const fault_period&, const fault_period&) = default;
};

/// What happened to daemons and members while callers recorded their history.
struct run_conditions {
    std::vector<planned_work> planned;
    std::vector<fault_period> unplanned;
    std::vector<standin::member_work> member_work;
    duration statement_timeout = std::chrono::milliseconds(800);
    duration grace = std::chrono::seconds(6); ///< Time from SIGTERM until a daemon must have ended.
};

} // namespace citronfall::soak
