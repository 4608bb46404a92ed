#pragma once

#include "caller_session/session_table.h"
#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace citronfall {

/// Options of a gateway's life cycle. The hooks are called on the decision thread.
struct gateway_lifecycle_options {
    duration grace{}; ///< From the termination signal until the process is killed.
    std::function<void(bool)> set_ready;
    std::function<void(instant)> release_registration; ///< Releases the daemon's lease and locks in the store.
    std::function<bool()> works_for_peers;             ///< Whether relayed statements or transactions are in progress.
    std::function<void(instant)> end_relayed_transactions; ///< Rolls back relayed transactions that are idle.
    std::function<void()> stop;
    std::function<void(instant due, std::function<void(instant)>)> call_at;
    std::function<std::uint64_t(std::uint64_t)> random;
    std::function<void(const std::string&, const std::string&)> log; ///< Name of the event and its fields.
};

/// Life cycle of a daemon from start to shutdown (chart `gateway`).
///
/// On the termination signal the daemon reports unready at once, but keeps serving until the load balancer has noticed.
/// It then closes sessions between two statements, spread over time; open transactions may run until half of the grace
/// period has passed. Not thread-safe: owned by the decision thread.
class gateway_lifecycle {
public:
    /// Error (bad_request): the chart does not match its bindings.
    [[nodiscard]] static result<std::unique_ptr<gateway_lifecycle>> make(gateway_lifecycle_options options,
                                                                         session_table& sessions);

    /// Updates whether the daemon can serve callers.
    void set_can_serve(bool can_serve, instant now);

    /// Starts the shutdown.
    void terminate(instant now);

    /// Closes the sessions that are due while the daemon drains. Call it every few tens of milliseconds while it
    /// drains.
    void tick(instant now);

    /// Whether the shutdown has started.
    [[nodiscard]] bool draining() const { return drain_started_.has_value(); }

    /// Whether new sessions are accepted at `now`. Once the load balancer has had time to notice the drain, a new
    /// session is refused before its first statement, so that its caller connects to another daemon.
    [[nodiscard]] bool accepts(instant now) const;

    /// Whether all work is done or has been cut, and the process is about to exit.
    [[nodiscard]] bool leaving() const { return program_->state_name(state_) == "leaving"; }

private:
    enum class event : std::uint8_t {
        able,
        unable,
        terminate,
        sessions_gone,
        half_due,
        end_due,
        answers_due,
        left_due
    };
    struct context {
        gateway_lifecycle& lifecycle;
        instant now;
    };

    gateway_lifecycle(gateway_lifecycle_options options, session_table& sessions)
        : options_(std::move(options)), sessions_(sessions)
    {
    }

    result<done> bind();
    static chart_bindings<context> bindings();
    void fire(event fired, instant now);
    void arm(const chart_timer& timer, instant now);
    void close_due_sessions(instant now);

    gateway_lifecycle_options options_;
    session_table& sessions_;
    std::optional<chart_program<event, context>> program_;
    state_id state_{};
    std::optional<instant> drain_started_;
    std::map<session_number, instant> close_at_; ///< When a session is closed if it stays idle.
};

} // namespace citronfall
