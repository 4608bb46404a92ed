#pragma once

#include "citronfall/decision_answer.h"
#include "citronfall/error_kind.h"
#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "http/http_reply.h"

#include <cstdint>
#include <functional>
#include <variant>

namespace citronfall {

/// Number of a caller's connection, unique within the process.
using caller_connection = std::uint64_t;

/// State of a reply when the hook that sends it returns.
enum class send_progress {
    pending,   ///< A sent_reply message will follow.
    delivered, ///< The kernel has accepted the complete reply.
    rejected,  ///< The reply was not written completely, and the connection must be closed.
};

/// Which directions of a caller's connection to shut down.
enum class shutdown_extent { write, both };

/// A caller has connected. The hooks may be called at any time; they have no effect once the connection is closed.
struct opened_connection {
    caller_connection connection = 0;
    std::function<void(shutdown_extent)> shut_down;
    std::function<send_progress(const http_reply&)> send_timeout; ///< Sends a reply to an incomplete request.
};

/// The first part of an incomplete request has arrived; sent at most once for each request.
struct partial_request {
    caller_connection connection = 0;
};

/// A request has arrived. Its answer is sent with `send`, once, after all earlier answers of the connection.
struct opened_request {
    request_handle handle = 0;
    caller_connection connection = 0;
    std::function<send_progress(const http_reply&)> send;
    bool last = false; ///< The connection is closed after the answer; no further request is read from it.
};

/// The front end itself answers a request because it is malformed or cannot be accepted.
struct immediate_reply {
    request_handle handle = 0;
    http_reply reply;
    error_kind kind = error_kind::bad_request; ///< Selects the counter of refused requests.
};

/// A reply whose progress was `pending` was written or failed.
struct sent_reply {
    caller_connection connection = 0;
    bool delivered = false;
};

/// The connection is closed; its pending answers are discarded.
struct closed_connection {
    caller_connection connection = 0;
};

/// No further answers follow: the responder finishes when all replies are written, at `limit` at the latest.
struct finish_replies {
    instant limit;
};

/// All messages to the responder thread.
using responder_message = std::variant<opened_connection, partial_request, opened_request, immediate_reply, sent_reply,
                                       closed_connection, decision_answer, finish_replies>;

} // namespace citronfall
