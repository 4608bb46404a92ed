#pragma once

#include "citronfall/instant.h"
#include "soak/child_process.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronfall::soak {

/// Settings of a supervised daemon.
struct daemon_supervisor_options {
    std::vector<std::string> command;
    std::string output_file;
    duration grace{}; ///< Time from SIGTERM until the process must have ended.
};

/// Keeps one daemon running as the platform does, and records exits that violate a rule.
///
/// Not thread-safe.
class daemon_supervisor {
public:
    daemon_supervisor(daemon_supervisor_options options, instant now);

    void kill(instant now);
    void stop(instant now); ///< Sends SIGTERM.
    void pause(duration length, instant now);
    void reload_settings();

    /// Restarts the process if it has ended. Must be called every few tens of milliseconds.
    void tick(instant now);

    /// Shuts the process down without a restart. Returns true once it has ended.
    bool finish(instant now);

    /// Violations, one line each.
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

private:
    void start(instant now);
    void check_exit(int status);

    daemon_supervisor_options options_;
    std::unique_ptr<child_process> process_;
    bool killed_ = false;
    std::optional<instant> end_by_; ///< Set after SIGTERM: the process must end by then.
    std::optional<instant> resume_at_;
    std::optional<instant> restart_at_;
    std::vector<std::string> violations_;
};

} // namespace citronfall::soak
