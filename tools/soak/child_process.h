#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace citronfall::soak {

/// A child process whose output is written to a file. The process is killed when the object is destroyed.
///
/// Not thread-safe.
class child_process {
public:
    /// Starts the program. Precondition: `command` has at least the path of the program.
    child_process(const std::vector<std::string>& command, const std::string& output_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    /// Sends a signal, unless the process has ended.
    void signal(int number);

    /// Exit status of the process, or 128 plus the number of the signal that ended it; nothing while it runs.
    std::optional<int> ended();

    /// Id of the process, for a look at what the system says of it. Meaningless once ended() has returned a status.
    [[nodiscard]] pid_t id() const { return process_; }

private:
    pid_t process_ = -1;
    std::optional<int> status_;
};

} // namespace citronfall::soak
