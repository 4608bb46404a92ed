#pragma once

#include "caller_session/caller_event.h"
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

/// Accepts a session.
using session_ready = immutable<session_ready_fields>;

/// Fields of an answer to a statement.
struct statement_reply_fields {
    session_number session = 0;
    std::vector<std::string> rows;
    std::string receipt;          ///< Of the member that ran the statement; empty if the session answered it itself.
    std::optional<error> failure; ///< Takes the place of the receipt.
    transaction_state state = transaction_state::none;
    std::optional<log_position> position; ///< Of the member's log, if a member answered.
    bool close_after = false;             ///< The connection ends once the answer has been written.

    friend auto operator<=>(const statement_reply_fields&, const statement_reply_fields&) = default;
};

/// The whole answer to one statement.
using statement_reply = immutable<statement_reply_fields>;

/// Fields of a session's end.
struct session_close_fields {
    session_number session = 0;
    std::optional<error> failure; ///< Sent before the close.

    friend auto operator<=>(const session_close_fields&, const session_close_fields&) = default;
};

/// Ends a session from this side.
using session_close = immutable<session_close_fields>;

/// Messages of the decision thread to the caller thread.
using caller_reply = std::variant<session_ready, statement_reply, session_close>;

} // namespace citronfall
