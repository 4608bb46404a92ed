#pragma once

#include "caller_session/session_end_reason.h"
#include "citronfall/immutable.h"
#include "statement/statement.h"

#include <cstdint>
#include <string>
#include <variant>

namespace citronfall {

/// Identifies a caller's connection within one daemon process; never reused.
using session_number = std::uint64_t;

/// Number of statements and malformed messages that a caller has sent in a session.
using message_count = std::uint64_t;

/// Fields of a session start.
struct caller_connected_fields {
    session_number session = 0;
    std::string database;
    std::string key; ///< Identifies the caller's tenant; a secret, never logged.

    friend auto operator<=>(const caller_connected_fields&, const caller_connected_fields&) = default;
};

/// A caller opened a session on a database.
using caller_connected = immutable<caller_connected_fields>;

/// Fields of a caller's statement.
struct caller_statement_fields {
    session_number session = 0;
    std::string request_id;
    parsed_statement query;
    /// Read after the error of a session_close was sent: that error is the beginning of the answer, whichever of the
    /// two was first.
    bool after_close_notice = false;

    friend auto operator<=>(const caller_statement_fields&, const caller_statement_fields&) = default;
};

/// A caller sent a statement.
using caller_statement = immutable<caller_statement_fields>;

/// Fields of a malformed message.
struct malformed_caller_message_fields {
    session_number session = 0;
    std::string request_id; ///< Empty if it could not be decoded.
    std::string reason;
    bool fatal = false; ///< The connection must be closed: lost framing, an unknown message, or a wrong session start.
    bool after_close_notice = false; ///< As for caller_statement.

    friend auto operator<=>(const malformed_caller_message_fields&, const malformed_caller_message_fields&) = default;
};

/// A caller sent something that is not a valid message.
using malformed_caller_message = immutable<malformed_caller_message_fields>;

/// Fields of the end of a connection.
struct caller_disconnected_fields {
    session_number session = 0;
    session_end_reason reason = session_end_reason::caller_closed;
    std::uint64_t unsent_bytes = 0; ///< Bytes of answers that were not written.
    std::uint64_t unread_bytes = 0; ///< Bytes of the caller that no message was decoded from.

    friend auto operator<=>(const caller_disconnected_fields&, const caller_disconnected_fields&) = default;
};

/// A caller's connection ended.
using caller_disconnected = immutable<caller_disconnected_fields>;

/// Events from the thread that owns the caller connections to the decision thread.
using caller_event = std::variant<caller_connected, caller_statement, malformed_caller_message, caller_disconnected>;

} // namespace citronfall
