#pragma once

#include "citronfall/bounded_ring.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace citronfall {

/// Priority of a log line; each priority has its own rate limit.
enum class log_priority {
    routine, ///< Normal processing of a request.
    notable, ///< A refusal, a failure or a change in the state of the process.
};

/// Fields of a log line.
struct log_line_fields {
    log_priority priority = log_priority::routine;
    std::string event;
    std::string fields; ///< "key=value" pairs, separated by blanks.

    friend auto operator<=>(const log_line_fields&, const log_line_fields&) = default;
};

/// One line of the structured log.
using log_line = immutable<log_line_fields>;

/// Options of an event log.
struct event_log_options {
    std::function<void(const log_line&)> write; ///< Called on the thread that executes run().
    std::size_t ring_capacity = 4096;
    std::uint32_t max_routine_per_s = 300;  ///< A daemon's share of a log collector that serves several daemons.
    std::uint32_t max_notable_per_s = 1500; ///< Less than 1% of a core at about 5 us per line.
};

/// Asynchronous structured log, bounded in rate and in memory, that never blocks the thread that adds lines.
///
/// Lines that exceed the rate limit or find the ring full are dropped and counted; add() logs the count at most once a
/// second. add() must be called on one thread only; run() is the body of the log thread; stop() is thread-safe.
class event_log {
public:
    explicit event_log(event_log_options options);

    /// Queues a line, or drops it; never blocks.
    void add(log_line line, instant now);

    /// Writes lines until stop() has been called and all queued lines are written.
    void run();

    /// Makes run() return once it has written all queued lines.
    void stop();

    /// Number of lines dropped so far.
    [[nodiscard]] std::uint64_t omitted_total() const { return omitted_total_; }

private:
    void start_second(instant now);

    event_log_options options_;
    bounded_ring<log_line> ring_;
    instant second_started_{};
    std::uint32_t routine_count_ = 0; ///< Lines accepted in the current second.
    std::uint32_t notable_count_ = 0;
    std::uint64_t omitted_ = 0; ///< Lines dropped since the count was last logged.
    std::uint64_t omitted_total_ = 0;
};

} // namespace citronfall
