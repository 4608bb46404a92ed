#pragma once

#include "caller_session/caller_event.h"
#include "citronfall/peer_event.h"
#include "mirror/store_answer.h"
#include "pool/member_event.h"

#include <variant>

namespace citronfall {

/// What a signal asks for.
enum class control_event { terminate, reload };

/// Everything that other threads tell the decision thread of a gateway.
using gateway_event = std::variant<caller_event, member_event, store_answer, peer_event, control_event>;

} // namespace citronfall
