#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"

#include <functional>
#include <optional>
#include <string>

namespace citronfall {

/// Hooks and settings of a daemon's lifecycle.
struct daemon_lifecycle_options {
    std::function<std::size_t()> work_in_progress;   ///< Number of requests and transactions in progress.
    std::function<void(const std::string&)> log;     ///< Writes a log line.
    std::function<void()> stop;                      ///< Called once, when the daemon may exit.
    duration drain_bound = std::chrono::seconds(30); ///< Time limit of a drain; work that takes longer is aborted.
};

/// Whether the daemon is starting, serving requests, draining or stopped. An instance of the state chart `daemon`.
///
/// Not thread-safe: owned by the decision thread.
class daemon_lifecycle {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<daemon_lifecycle> make(daemon_lifecycle_options options);

    /// To be called when the daemon has a configuration document.
    void document_accepted(instant now);

    /// Stops accepting work; the daemon ends when the work in progress has finished.
    void drain(instant now);

    /// Ends a drain if no work is left or its time limit has passed.
    void tick(instant now);

    /// When tick() must be called next: the time limit of the drain, if one is in progress.
    [[nodiscard]] std::optional<instant> next() const { return drain_expires_; }

    /// Whether new work is accepted.
    [[nodiscard]] bool accepts_work() const { return ready_ && !leaving_; }

    /// Whether a drain has started.
    [[nodiscard]] bool leaving() const { return leaving_; }

    /// Name of the current chart state.
    [[nodiscard]] const std::string& state_name() const { return program_.state_name(state_); }

private:
    enum class lifecycle_event { document_accepted, drain, work_finished, drain_expired };

    struct step_context {
        daemon_lifecycle& subject;
        instant now;
    };

    using program = chart_program<lifecycle_event, step_context>;

    daemon_lifecycle(daemon_lifecycle_options options, program states);
    [[nodiscard]] static chart_bindings<step_context> bindings();
    void fire(lifecycle_event event, instant now);

    daemon_lifecycle_options options_;
    program program_;
    state_id state_;
    bool ready_ = false;
    bool leaving_ = false;
    std::optional<instant> drain_expires_;
};

} // namespace citronfall
