#pragma once

#include <chrono>
#include <functional>

namespace citronfall {

/// Length of time in microseconds.
using duration = std::chrono::microseconds;

/// Point in time on a process's monotonic clock. Not comparable between processes.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// Source of the current time. Only the loop of a thread calls it; decisions get the time as an argument.
using clock_hook = std::function<instant()>;

/// Current time of the process's monotonic clock. Thread-safe.
[[nodiscard]] inline instant steady_now()
{
    return std::chrono::time_point_cast<duration>(std::chrono::steady_clock::now());
}

} // namespace citronfall
