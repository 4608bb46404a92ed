#pragma once

#include "caller_session/caller_event.h"
#include "caller_session/session_end_reason.h"
#include "caller_session/unanswered_statement.h"
#include "citronfall/immutable.h"
#include "statement/transaction_state.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

/// Fields of a session's end.
struct session_end_fields {
    session_number session = 0;
    std::string database;
    session_end_reason reason = session_end_reason::caller_closed;
    transaction_state transaction = transaction_state::none;
    std::string transaction_peer;              ///< Daemon that holds the open transaction, if it was relayed.
    std::uint64_t unsent_bytes = 0;            ///< Bytes of answers that were not written to the connection.
    std::uint64_t unread_bytes = 0;            ///< Bytes of the caller that no message was decoded from.
    std::vector<unanswered_statement> pending; ///< Statements without an answer, oldest first.

    friend auto operator<=>(const session_end_fields&, const session_end_fields&) = default;
};

/// The end of a caller's session and what was unanswered then.
using session_end = immutable<session_end_fields>;

/// Fields of the log line about an unanswered statement. Thread-safe.
[[nodiscard]] std::string log_fields(const unanswered_statement& statement);

/// Fields of the log line about the end of a session; includes its oldest unanswered statement. Thread-safe.
[[nodiscard]] std::string log_fields(const session_end& end);

} // namespace citronfall
