#pragma once

#include "citronfall/instant.h"
#include "soak/child_process.h"
#include "soak/run_conditions.h"

#include <functional>
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
    /// Age from which a process gets SIGTERM and SIGHUP; earlier ones are sent then. Before it handles signals, they
    /// end it with a status that counts as a violation.
    duration signal_age{};
    /// Called when SIGTERM or SIGHUP is sent.
    std::function<void(planned_work_kind, instant)> signalled = [](planned_work_kind, instant) {
    };
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
    void reload_settings(instant now);

    /// Restarts the process if it has ended. Must be called every few tens of milliseconds.
    void tick(instant now);

    /// Shuts the process down without a restart. Returns true once it has ended.
    bool finish(instant now);

    /// Violations, one line each.
    [[nodiscard]] const std::vector<std::string>& violations() const { return violations_; }

private:
    void start(instant now);
    void check_exit(int status);
    void send_due_signals(instant now);

    daemon_supervisor_options options_;
    std::unique_ptr<child_process> process_;
    instant started_at_{};
    bool killed_ = false;
    bool stop_due_ = false;
    bool reload_due_ = false;
    std::optional<instant> end_by_; ///< Set after SIGTERM: the process must end by then.
    std::optional<instant> resume_at_;
    std::optional<instant> restart_at_;
    std::vector<std::string> violations_;
};

} // namespace citronfall::soak
