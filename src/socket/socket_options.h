#pragma once

#include "citronfall/instant.h"

namespace citronfall {

/// TCP options that decide how soon the kernel gives up a connection whose peer no longer answers.
struct tcp_timeouts {
    duration user_timeout{};   ///< Longest time for which sent bytes may stay unacknowledged.
    duration keep_alive{};     ///< Idle time before a probe and between two probes, in whole seconds.
    int keep_alive_probes = 1; ///< Unanswered probes that end the connection.
};

/// For connections to members. A round trip takes milliseconds, and a statement that waits on a dead connection can
/// still be served by another member if the loss is noticed within a second.
inline constexpr tcp_timeouts member_tcp_timeouts{
    .user_timeout = std::chrono::milliseconds(700), .keep_alive = std::chrono::seconds(1), .keep_alive_probes = 1};

/// For connections to other daemons. Relayed statements wait on them, but a lost packet is sent again only after 200
/// ms, and a second time after 600 ms.
inline constexpr tcp_timeouts peer_tcp_timeouts{
    .user_timeout = std::chrono::milliseconds(1300), .keep_alive = std::chrono::seconds(1), .keep_alive_probes = 2};

/// For connections from callers, which may be far away.
inline constexpr tcp_timeouts caller_tcp_timeouts{
    .user_timeout = std::chrono::seconds(5), .keep_alive = std::chrono::seconds(10), .keep_alive_probes = 3};

/// For connections to the store. A watch may be without traffic for seconds, and after a loss it has to be renewed in
/// time for the next change of the configuration.
inline constexpr tcp_timeouts store_tcp_timeouts{
    .user_timeout = std::chrono::milliseconds(1500), .keep_alive = std::chrono::seconds(1), .keep_alive_probes = 1};

/// Sets the timeouts and disables Nagle's algorithm. Options that the kernel rejects keep their defaults. Precondition:
/// `socket` is a TCP socket. Thread-safe.
void set_tcp_options(int socket, const tcp_timeouts& timeouts);

} // namespace citronfall
