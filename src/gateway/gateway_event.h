#pragma once

#include "caller_session/caller_event.h"
#include "citronfall/immutable.h"
#include "citronfall/peer_event.h"
#include "mirror/store_answer.h"
#include "pool/member_event.h"

#include <string>
#include <variant>

namespace citronfall {

/// Request that a process signal makes.
enum class control_event { terminate, reload };

/// Fields of thread_failure.
struct thread_failure_fields {
    std::string thread; ///< Duty of the thread.
    std::string what;

    friend auto operator<=>(const thread_failure_fields&, const thread_failure_fields&) = default;
};

/// An unexpected exception on another thread. What it served, a connection or a call, has ended; the thread goes on.
using thread_failure = immutable<thread_failure_fields>;

/// Events that other threads pass to the decision thread of a gateway.
using gateway_event = std::variant<caller_event, member_event, store_answer, peer_event, control_event, thread_failure>;

} // namespace citronfall
