#pragma once

#include "caller_session/caller_event.h"
#include "caller_session/close_offer.h"
#include "citronfall/error.h"
#include "citronfall/immutable.h"
#include "citronfall/log_position.h"
#include "statement/transaction_state.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citronfall {

/// Fields of an accepted session start.
struct session_ready_fields {
    session_number session = 0;

    friend auto operator<=>(const session_ready_fields&, const session_ready_fields&) = default;
};

/// Tells a caller that its session is accepted.
using session_ready = immutable<session_ready_fields>;

/// Fields of an answer to a statement.
struct statement_reply_fields {
    session_number session = 0;
    std::vector<std::string> rows;
    std::string receipt;          ///< Receipt of the member that ran the statement; empty if none did.
    std::optional<error> failure; ///< Set instead of the receipt if the statement failed.
    bool failure_sent = false;    ///< The error was sent by a session_close; only the end of the answer follows.
    transaction_state state = transaction_state::none;
    std::optional<log_position> position; ///< Log position of the member, if a member answered.

    friend auto operator<=>(const statement_reply_fields&, const statement_reply_fields&) = default;
};

/// The complete answer to one statement.
using statement_reply = immutable<statement_reply_fields>;

/// Fields of a session's end.
struct session_close_fields {
    session_number session = 0;
    std::optional<error> failure;     ///< Error sent to the caller before the connection is closed.
    std::optional<close_offer> offer; ///< If set, the close is an offer.

    friend auto operator<=>(const session_close_fields&, const session_close_fields&) = default;
};

/// Closes a session on the daemon's initiative.
///
/// An offer that is void has no effect: the decision thread handles the messages that it had not yet received and
/// offers again. One that is accepted sends the error as a notice and leaves the close to the caller, so that a
/// statement that is already on its way is still read and answered; the end is reported by caller_disconnected.
using session_close = immutable<session_close_fields>;

/// Messages from the decision thread to the thread that owns the caller connections.
using caller_reply = std::variant<session_ready, statement_reply, session_close>;

} // namespace citronfall
