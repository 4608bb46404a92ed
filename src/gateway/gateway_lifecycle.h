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

/// Settings and hooks of a lifecycle. The hooks are called on the decision thread.
struct gateway_lifecycle_options {
    duration grace{}; ///< From the signal to end until the process is killed.
    std::function<void(bool)> ready;
    std::function<void(instant)> leave; ///< Gives the lease and the duties back.
    std::function<void()> stop;
    std::function<void(instant due, std::function<void(instant)>)> at;
    std::function<std::uint64_t(std::uint64_t)> random;
    std::function<void(const std::string&, const std::string&)> log; ///< Event and its fields.
};

/// The life of a daemon from its start to its end (chart `gateway`).
///
/// After the signal to end it reports unready at once and goes on serving until the balancer has noticed. Sessions are
/// closed between two statements, spread over time; open transactions get the first half of the grace period. Not
/// thread-safe: owned by the decision thread.
class gateway_lifecycle {
public:
    /// Error (bad_request): the chart does not fit.
    [[nodiscard]] static result<std::unique_ptr<gateway_lifecycle>> make(gateway_lifecycle_options options,
                                                                         session_table& sessions);

    /// Whether the daemon can serve callers now.
    void able(bool can_serve, instant now);

    /// The signal to end.
    void terminate(instant now);

    /// Closes sessions that are due while the daemon drains. To be called every few tens of milliseconds.
    void tick(instant now);

    /// Whether new sessions are accepted at `now`. Once the balancer has had time to notice the drain, a new session is
    /// refused before its first statement, and its caller goes elsewhere.
    [[nodiscard]] bool accepts(instant now) const;

private:
    enum class event : std::uint8_t { able, unable, terminate, sessions_gone, half_due, end_due, left_due };
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
    void fire(event what, instant now);
    void arm(const chart_timer& timer, instant now);
    void close_due_sessions(instant now);

    gateway_lifecycle_options options_;
    session_table& sessions_;
    std::optional<chart_program<event, context>> program_;
    state_id state_{};
    std::optional<instant> drain_started_;
    std::map<session_number, instant> close_at_; ///< When sessions that stay idle are closed.
};

} // namespace citronfall
