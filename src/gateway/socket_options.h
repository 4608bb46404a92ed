#pragma once

#include "citronfall/instant.h"

namespace citronfall {

/// How soon the kernel gives up a connection whose other end no longer answers.
struct tcp_timeouts {
    duration user_timeout{};   ///< Sent bytes without an acknowledgement for this long end the connection.
    duration keep_alive{};     ///< Idle time before a probe, and between two probes; whole seconds.
    int keep_alive_probes = 1; ///< Unanswered probes that end the connection.
};

/// Towards members: a path is one round trip of milliseconds, and a statement that waits on a silent connection can
/// still be served elsewhere if the loss shows within a second.
inline constexpr tcp_timeouts member_tcp_timeouts{
    .user_timeout = std::chrono::milliseconds(700), .keep_alive = std::chrono::seconds(1), .keep_alive_probes = 1};

/// Towards callers, who may be far away.
inline constexpr tcp_timeouts caller_tcp_timeouts{
    .user_timeout = std::chrono::seconds(5), .keep_alive = std::chrono::seconds(10), .keep_alive_probes = 3};

/// Towards the store: a watch waits for seconds without traffic and has to be renewed before a change of the
/// configuration is due.
inline constexpr tcp_timeouts store_tcp_timeouts{
    .user_timeout = std::chrono::milliseconds(1500), .keep_alive = std::chrono::seconds(1), .keep_alive_probes = 1};

/// Sets the limits and switches Nagle's algorithm off. Options that the system refuses are left as they are.
/// Precondition: `socket` is a TCP socket. Thread-safe.
void set_tcp_options(int socket, const tcp_timeouts& limits);

} // namespace citronfall
