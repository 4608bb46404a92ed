#pragma once

#include "citronfall/immutable.h"
#include "citronfall/peer_message.h"

#include <string>

namespace citronfall {

struct outgoing_peer_message_fields {
    std::string to; ///< Name of a daemon; empty: all connected peers.
    peer_message message;

    friend auto operator<=>(const outgoing_peer_message_fields&, const outgoing_peer_message_fields&) = default;
};

/// Request of the decision thread to the peer thread to send a message.
class outgoing_peer_message : public immutable<outgoing_peer_message_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
