#pragma once

#include "citronfall/immutable.h"
#include "citronfall/peer_close_reason.h"
#include "citronfall/peer_message.h"

#include <string>

namespace citronfall {

/// Kinds of events on a peer connection.
enum class peer_event_kind { connected, received, disconnected };

struct peer_event_fields {
    std::string from; ///< Name of the peer daemon.
    peer_event_kind kind = peer_event_kind::received;
    peer_message message;                               ///< The received message; for a connected event, the hello.
    peer_close_reason reason = peer_close_reason::lost; ///< For a disconnected event.

    friend auto operator<=>(const peer_event_fields&, const peer_event_fields&) = default;
};

/// Event on a peer connection, sent by the peer thread to the decision thread.
class peer_event : public immutable<peer_event_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
