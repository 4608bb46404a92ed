#pragma once

#include "caller_session/caller_event.h"
#include "caller_session/caller_reply.h"
#include "citronfall/peer_service_command.h"
#include "gateway/gateway_event.h"

#include <cstddef>

namespace citronfall {

/// Number of bytes in an event whose size others decide, as far as it matters for memory. Thread-safe.
[[nodiscard]] std::size_t size_of(const caller_event& event);
[[nodiscard]] std::size_t size_of(const gateway_event& event);

/// Number of bytes in a reply or command, as above. Thread-safe.
[[nodiscard]] std::size_t size_of(const caller_reply& reply);
[[nodiscard]] std::size_t size_of(const peer_service_command& command);

} // namespace citronfall
