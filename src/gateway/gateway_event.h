#pragma once

#include "caller_session/caller_event.h"
#include "citronfall/peer_event.h"
#include "mirror/store_answer.h"
#include "pool/member_event.h"

#include <variant>

namespace citronfall {

/// Request that a process signal makes.
enum class control_event { terminate, reload };

/// Events that other threads pass to the decision thread of a gateway.
using gateway_event = std::variant<caller_event, member_event, store_answer, peer_event, control_event>;

} // namespace citronfall
