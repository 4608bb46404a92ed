#pragma once

#include <string>

namespace citronfall {

/// Why a connection to a peer was closed.
enum class peer_close_reason {
    connect_failed,
    lost, ///< The peer closed it, or the network failed.
    bad_frame,
    timed_out,
    overloaded, ///< The send queue was full when relayed work had to be sent.
    restarted,  ///< A new run of the peer has connected.
};

/// Name of a reason in log lines. Thread-safe.
[[nodiscard]] std::string peer_close_reason_name(peer_close_reason reason);

} // namespace citronfall
