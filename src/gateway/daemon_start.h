#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace citronfall {

/// What a daemon that starts has so far.
struct start_progress {
    bool configured = false; ///< It knows a configuration.
    bool listed = false;     ///< It has read the list of daemons.

    friend auto operator<=>(const start_progress&, const start_progress&) = default;
};

/// Hooks of a daemon start. They are called on the decision thread.
struct daemon_start_options {
    std::function<void(instant)> connect;        ///< Connections to members may be opened from now on.
    std::function<void(instant)> accept_callers; ///< Callers may be served from now on.
    std::function<void(instant due, std::function<void(instant)>)> call_at;
    std::function<void(const std::string&, const std::string&)> log; ///< Name of the event and its fields.
};

/// The steps of a daemon from its start until it serves callers (chart `daemon_start`).
///
/// Answers the load of a fleet that starts at once, as after a loss of all power. A daemon that does not know the
/// others would take itself for the only one that keeps connections, and one that is not connected to them yet would
/// connect to all members itself; together they exceed the members' limits many times. So it first reads the list of
/// daemons, and then waits for the daemons it relays to. Both waits are bounded, and callers who come meanwhile wait as
/// well, as it takes less time than a refused caller needs to come back. A daemon without others, or one that is
/// assigned to all services, does not wait. Not thread-safe: owned by the decision thread.
class daemon_start {
public:
    /// Error (bad_request): the chart does not match its bindings.
    [[nodiscard]] static result<std::unique_ptr<daemon_start>> make(daemon_start_options options);

    /// Reports what the daemon has. Call it after each event until callers are accepted.
    void update(const start_progress& progress, instant now);

    /// Reports that for each service the daemon is assigned, or connected to a daemon that is. Without effect before
    /// connections to members may be opened.
    void relays_connected(instant now) { fire(event::relays_connected, now); }

    /// Whether connections to members may be opened.
    [[nodiscard]] bool may_connect() const;

    /// Whether callers are served, and statements whose relay is not connected may go to the members.
    [[nodiscard]] bool accepts_callers() const { return program_->is_final(state_); }

private:
    enum class event : std::uint8_t { configured, listed, list_overdue, relays_connected, relays_overdue };
    struct context {
        daemon_start& start;
        instant now;
    };

    explicit daemon_start(daemon_start_options options) : options_(std::move(options)) {}

    result<done> bind();
    static chart_bindings<context> bindings();
    void fire(event fired, instant now);
    void arm(const chart_timer& timer, instant now);

    daemon_start_options options_;
    std::optional<chart_program<event, context>> program_;
    state_id state_{};
};

} // namespace citronfall
