#pragma once

#include "citronfall/outgoing_peer_message.h"
#include "citronfall/peer_candidates.h"

#include <variant>

namespace citronfall {

/// All messages from other threads to the peer thread.
using peer_service_command = std::variant<outgoing_peer_message, peer_candidates>;

} // namespace citronfall
