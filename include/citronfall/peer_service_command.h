#pragma once

#include "citronfall/outgoing_peer_message.h"
#include "citronfall/peer_candidates.h"

#include <variant>

namespace citronfall {

/// Everything that the peer thread is told by other threads of its daemon.
using peer_service_command = std::variant<outgoing_peer_message, peer_candidates>;

} // namespace citronfall
