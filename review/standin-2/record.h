#pragma once

#include "event_loop.h"

#include <fstream>
#include <string>

namespace review {

/// The file in which a case writes what was sent, answered and run, with milliseconds since its start.
class record {
public:
    explicit record(const std::string& file) : file_(file), started_at_(event_loop::now()) {}

    void add(const std::string& line) { file_ << elapsed_ms() << " " << line << std::endl; }

    [[nodiscard]] long elapsed_ms() const
    {
        return std::chrono::duration_cast<milliseconds>(event_loop::now() - started_at_).count();
    }

private:
    std::ofstream file_;
    steady_time started_at_;
};

} // namespace review
