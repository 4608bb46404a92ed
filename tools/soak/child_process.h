#pragma once

#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace citronfall::soak {

/// A program that the soak started, with its output in a file. Killed when the object goes.
///
/// Not thread-safe.
class child_process {
public:
    /// Starts a program. Precondition: `command` names at least the program.
    child_process(const std::vector<std::string>& command, const std::string& output_file);
    ~child_process();
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    child_process(child_process&&) = delete;
    child_process& operator=(child_process&&) = delete;

    /// Sends a signal, unless the program has ended.
    void signal(int number);

    /// How the program ended: its exit status, or 128 and the number of the signal; nothing while it runs.
    std::optional<int> ended();

private:
    pid_t process_ = -1;
    std::optional<int> status_;
};

} // namespace citronfall::soak
