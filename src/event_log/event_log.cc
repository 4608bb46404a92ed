#include "event_log/event_log.h"

#include <utility>

namespace citronfall {

event_log::event_log(event_log_options options)
    : options_(std::move(options)), ring_({.capacity = options_.ring_capacity})
{
}

void event_log::start_second(instant now)
{
    second_started_ = now;
    routine_count_ = 0;
    notable_count_ = 0;
    if (omitted_ > 0 && ring_.try_push(log_line{{.priority = log_priority::notable,
                                                 .event = "lines_omitted",
                                                 .fields = "count=" + std::to_string(omitted_)}})) {
        omitted_ = 0;
    }
}

void event_log::add(log_line line, instant now)
{
    if (now - second_started_ >= std::chrono::seconds(1)) {
        start_second(now);
    }
    const bool routine = line->priority == log_priority::routine;
    std::uint32_t& written = routine ? routine_count_ : notable_count_;
    const std::uint32_t limit = routine ? options_.max_routine_per_s : options_.max_notable_per_s;
    if (written >= limit || !ring_.try_push(std::move(line))) {
        ++omitted_;
        ++omitted_total_;
        return;
    }
    ++written;
}

void event_log::run()
{
    while (const auto line = ring_.pop()) {
        options_.write(*line);
    }
}

void event_log::stop()
{
    ring_.close();
}

} // namespace citronfall
