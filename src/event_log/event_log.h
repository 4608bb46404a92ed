#pragma once

#include "citronfall/bounded_ring.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace citronfall {

/// How much a line matters when not all can be written.
enum class log_priority {
    routine, ///< The usual course of a request.
    notable, ///< A refusal, a failure or a change of what the process believes.
};

/// Fields of a line.
struct log_line_fields {
    log_priority priority = log_priority::routine;
    std::string event;
    std::string fields; ///< "key=value" separated by blanks.

    friend auto operator<=>(const log_line_fields&, const log_line_fields&) = default;
};

/// One structured line.
using log_line = immutable<log_line_fields>;

/// Settings of a log.
struct event_log_options {
    std::function<void(const log_line&)> write; ///< Called on the thread of run().
    std::size_t ring_capacity = 4096;
    std::uint32_t max_routine_per_s = 300;  ///< A daemon's share of a log collector that also serves its neighbours.
    std::uint32_t max_notable_per_s = 1500; ///< Still below 1% of a core at about 5 us a line.
};

/// Structured lines on their way to standard output: bounded in rate and in memory, and never in the way of a request.
///
/// What exceeds the rate or finds the ring full is counted, and the count is written each second. add() belongs to one
/// thread; run() is the body of the log thread; stop() is thread-safe.
class event_log {
public:
    explicit event_log(event_log_options options);

    /// Adds a line; never waits.
    void add(log_line line, instant now);

    /// Writes lines until stop() was called and all are written.
    void run();

    /// Makes run() return.
    void stop();

    /// Lines left out so far.
    [[nodiscard]] std::uint64_t omitted_total() const { return omitted_total_; }

private:
    void start_second(instant now);

    event_log_options options_;
    bounded_ring<log_line> ring_;
    instant second_started_{};
    std::uint32_t routine_ = 0; ///< Lines in the present second.
    std::uint32_t notable_ = 0;
    std::uint64_t omitted_ = 0; ///< Since the last count was written.
    std::uint64_t omitted_total_ = 0;
};

} // namespace citronfall
