#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "citronfall/member_key.h"
#include "citronfall/result.h"
#include "citronfall/upstream_command.h"
#include "citronfall/upstream_event.h"
#include "core/timer_queue.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace citronfall {

/// Hooks and settings of a connection pool.
struct connection_pool_options {
    std::function<void(const upstream_command&)> send;     ///< Passes a command to the upstream thread.
    std::function<std::uint32_t(const member_key&)> limit; ///< Maximum number of connections to a member.
    std::function<std::string(const member_key&)> address; ///< "ip:port" of a member.
    std::function<connection_number()> next_number;        ///< Returns a number that has never been used.
    std::function<duration()> connect_timeout;
    /// Increments a counter.
    std::function<void(std::string_view)> count = [](std::string_view) {
    };
    duration heartbeat = std::chrono::milliseconds(400); ///< Idle time after which a connection is probed.
    /// How long to wait for the answer to a probe, and, once a member is suspect, for any answer on a connection to it.
    /// Heartbeat, probe and this second wait together take less than 1 s, within which a silent connection must be
    /// replaced.
    duration probe_timeout = std::chrono::milliseconds(250);
    std::uint32_t max_opening = 4; ///< Connections to one member that are opened concurrently.
};

/// The connections of one daemon to the members of groups. Each is an instance of the state chart `connection`.
///
/// Decides when connections are opened, who uses them and when they are closed; the upstream thread owns the sockets.
/// Idle connections are probed at intervals with a status call. A call that fails or times out makes every connection
/// to that member suspect: idle ones are probed at once. A connection in use cannot be probed; its exchange is aborted
/// unless a connection that was open before the suspicion answers in time. Such an answer proves that the network path
/// works, so a long statement may continue. Not thread-safe: owned by the decision thread.
class connection_pool {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<connection_pool> make(connection_pool_options options);

    /// Takes an idle connection to the member, if there is one, which must be returned with release() or discard().
    [[nodiscard]] std::optional<connection_number> acquire(const member_key& member, instant now);

    /// Returns a connection to the pool after a complete answer. Precondition: the connection is acquired.
    void release(connection_number connection, instant now);

    /// Closes a connection whose exchange is incomplete. Does nothing if the connection no longer exists.
    void discard(connection_number connection, instant now);

    /// Opens connections to the member until one is being opened for each of the `waiting` requests or a limit is
    /// reached.
    void ensure_connections(const member_key& member, std::size_t waiting, instant now);

    /// Closes up to `count` idle connections to the member, the least recently used first. Returns how many it closed.
    std::uint32_t close_idle(const member_key& member, std::uint32_t count, instant now);

    /// Closes all connections to the member, in any state. No further events are delivered for their exchanges.
    void close_all(const member_key& member, instant now);

    /// Handles an event of one of the pool's connections. Returns the member that has gained an idle connection, if
    /// any.
    std::optional<member_key> apply(const upstream_event& event, instant now);

    /// Handles an event of the status poller's connection to the member, which shows whether the path to it works.
    void observe_status(const member_key& member, const upstream_event& event, instant now);

    /// Sends the probes that are due and aborts exchanges of members that stayed suspect.
    void tick(instant now);

    /// When tick() must be called next, if a timer is armed.
    [[nodiscard]] std::optional<instant> next() const { return timers_.next(); }

    /// Number of connections to the member in any state.
    [[nodiscard]] std::uint32_t connection_count(const member_key& member) const;

    /// The member that the connection leads to, if it belongs to this pool.
    [[nodiscard]] std::optional<member_key> member_of(connection_number connection) const;

    /// Whether the connection belongs to this pool.
    [[nodiscard]] bool contains(connection_number connection) const { return connections_.contains(connection); }

private:
    enum class connection_event {
        opened,
        acquire,
        release,
        lost,
        discard,
        heartbeat_due,
        probe_answered,
        suspected,
        cleared,
        silent,
    };

    struct connection_record {
        connection_number number = 0;
        member_key member;
        state_id state{};
        exchange_number probe = 0;    ///< 0 if no probe is outstanding.
        instant opened;               ///< When it became usable.
        instant due = instant::max(); ///< When the next probe is due.
        bool timer_armed = false;     ///< Whether the timer queue has an entry for the connection.
    };

    struct member_connections {
        std::uint32_t total = 0;
        std::uint32_t opening = 0;
        std::deque<connection_number> idle; ///< Used as a stack; the most recently used one is at the back.
        std::optional<instant> suspected;   ///< When the member became suspect.
        std::optional<instant> status_open; ///< When the connection for status calls was opened.
    };

    /// Time of the next probe of a connection or, if the connection is 0, end of the suspicion of a member.
    struct pool_timer {
        connection_number connection = 0;
        member_key member;
    };

    struct step_context {
        connection_pool& pool;
        connection_record& subject;
        instant now;
    };

    using program = chart_program<connection_event, step_context>;

    connection_pool(connection_pool_options options, program states);
    [[nodiscard]] static chart_bindings<step_context> bindings();
    void fire(connection_number connection, connection_event event, instant now);
    void fire_all(const member_key& member, connection_event event, instant now);
    void start_suspicion(const member_key& member, instant now);
    void clear_suspicion(const member_key& member, instant now);
    void end_suspicion(const member_key& member, instant now);
    [[nodiscard]] member_connections& connections_to(const member_key& member) { return members_[member]; }

    connection_pool_options options_;
    program program_;
    std::map<connection_number, connection_record> connections_;
    std::map<member_key, member_connections> members_;
    timer_queue<pool_timer> timers_;
};

} // namespace citronfall
