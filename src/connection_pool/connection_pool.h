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

/// Hooks and settings of a connection table.
struct connection_pool_options {
    std::function<void(const upstream_command&)> send;     ///< Hands a command to the upstream thread.
    std::function<std::uint32_t(const member_key&)> limit; ///< Connections that this daemon may hold to a member.
    std::function<std::string(const member_key&)> address; ///< "ip:port" of a member.
    std::function<connection_number()> next_number;        ///< A number that was never used before.
    std::function<duration()> connect_timeout;
    std::function<void(std::string_view)> count = [](std::string_view) {
    };                                                   ///< Adds 1 to a counter.
    duration heartbeat = std::chrono::milliseconds(400); ///< After which an idle connection is probed.
    /// For the answer to a probe, and after a suspicion for any sign of life of the path to the member. Heartbeat,
    /// probe and this second wait together stay below the 1 s in which a silent connection must be replaced.
    duration probe_timeout = std::chrono::milliseconds(250);
    std::uint32_t opening_limit = 4; ///< Connections to one member that are being opened at a time.
};

/// The connections of one daemon to the members of groups, each in a state of the chart `connection`.
///
/// Decides when connections are opened, who uses them and when they are thrown away; the sockets belong to the upstream
/// thread. Idle connections carry a heartbeat, a status call. A call without answer makes every connection to that
/// member suspect: idle ones are probed at once. A connection in use cannot be probed; its exchange is aborted unless a
/// connection that was open before the suspicion answers in time, which proves the path and lets a long statement run
/// on. Not thread-safe: owned by the decision thread.
class connection_pool {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<connection_pool> make(connection_pool_options options);

    /// Takes an idle connection to the member, if there is one. The caller must release() or discard() it.
    [[nodiscard]] std::optional<connection_number> acquire(const member_key& member, instant now);

    /// Returns a connection whose exchange has ended with a complete answer. Precondition: acquired.
    void release(connection_number connection, instant now);

    /// Closes a connection that is in doubt. Does nothing if the connection no longer exists.
    void discard(connection_number connection, instant now);

    /// Opens connections to the member while fewer are opening than `waiting` requests need and the limit allows.
    void ensure_connections(const member_key& member, std::size_t waiting, instant now);

    /// Closes up to `count` idle connections to the member, the least recently used first. Returns how many.
    std::uint32_t close_idle(const member_key& member, std::uint32_t count, instant now);

    /// Closes all connections to the member, in any state. Exchanges on them get no event any more.
    void close_all(const member_key& member, instant now);

    /// Applies an event of one of the table's connections. Returns the member whose idle connections increased.
    std::optional<member_key> apply(const upstream_event& event, instant now);

    /// Takes note of an event of the connection that carries the status calls to the member: a sign of life or silence.
    void observe_status(const member_key& member, const upstream_event& event, instant now);

    /// Sends the heartbeats that are due and ends suspicions.
    void tick(instant now);

    /// When tick() is next needed.
    [[nodiscard]] std::optional<instant> next() const { return timers_.next(); }

    /// Number of connections to the member in any state.
    [[nodiscard]] std::uint32_t held(const member_key& member) const;

    /// The member that the connection leads to, if the table has it.
    [[nodiscard]] std::optional<member_key> member_of(connection_number connection) const;

    /// Whether the connection belongs to this table.
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
        exchange_number probe = 0;    ///< 0: no probe is outstanding.
        instant opened;               ///< When it became usable.
        instant due = instant::max(); ///< When the heartbeat is due.
        bool queued = false;          ///< Has an entry in the timer queue.
    };

    struct member_connections {
        std::uint32_t total = 0;
        std::uint32_t opening = 0;
        std::deque<connection_number> idle; ///< The most recently used one is at the back and is taken first.
        std::optional<instant> suspected;   ///< Since when the path is suspect.
        std::optional<instant> status_open; ///< Since when the connection for status calls is open.
    };

    /// A heartbeat, or the end of a suspicion if the connection is 0.
    struct table_timer {
        connection_number connection = 0;
        member_key member;
    };

    struct step_context {
        connection_pool& table;
        connection_record& subject;
        instant now;
    };

    using program = chart_program<connection_event, step_context>;

    connection_pool(connection_pool_options options, program states);
    [[nodiscard]] static chart_bindings<step_context> bindings();
    void fire(connection_number connection, connection_event event, instant now);
    void fire_all(const member_key& member, connection_event event, instant now);
    void suspect(const member_key& member, instant now);
    void clear(const member_key& member, instant now);
    void end_suspicion(const member_key& member, instant now);
    [[nodiscard]] member_connections& of(const member_key& member) { return members_[member]; }

    connection_pool_options options_;
    program program_;
    std::map<connection_number, connection_record> connections_;
    std::map<member_key, member_connections> members_;
    timer_queue<table_timer> timers_;
};

} // namespace citronfall
