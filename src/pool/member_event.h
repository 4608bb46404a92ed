#pragma once

#include "citronfall/error.h"
#include "citronfall/ids.h"
#include "citronfall/immutable.h"
#include "citronfall/log_position.h"
#include "statement/transaction_state.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citronfall {

/// Fields of an opened connection.
struct member_connection_opened_fields {
    connection_number connection = 0;

    friend auto operator<=>(const member_connection_opened_fields&, const member_connection_opened_fields&) = default;
};

/// A member accepted a connection.
using member_connection_opened = immutable<member_connection_opened_fields>;

/// Fields of a member's answer.
struct member_reply_fields {
    connection_number connection = 0;
    std::vector<std::string> rows;
    std::string receipt;
    std::optional<error> failure;
    transaction_state state = transaction_state::none;
    std::optional<log_position> position; ///< Log position of the member when it answered.

    friend auto operator<=>(const member_reply_fields&, const member_reply_fields&) = default;
};

/// The complete answer of a member to one statement.
using member_reply = immutable<member_reply_fields>;

/// Why a connection to a member ended.
enum class connection_end_reason {
    refused,        ///< The instance refused the connection: nothing listens at the address, so the member is down.
    rejected,       ///< The member answered the session startup with an error.
    no_answer,      ///< The connect timeout expired.
    reset,          ///< The member or the instance closed an established connection.
    silent,         ///< Sent bytes were not acknowledged, or keep-alive probes got no answer.
    protocol_error, ///< The member sent something that is not a valid answer.
};

/// Name for logs and counters. Thread-safe.
[[nodiscard]] constexpr const char* connection_end_reason_name(connection_end_reason end)
{
    switch (end) {
    case connection_end_reason::refused:
        return "refused";
    case connection_end_reason::rejected:
        return "rejected";
    case connection_end_reason::no_answer:
        return "no_answer";
    case connection_end_reason::reset:
        return "reset";
    case connection_end_reason::silent:
        return "silent";
    case connection_end_reason::protocol_error:
        break;
    }
    return "protocol_error";
}

/// Fields of a connection's end.
struct member_connection_closed_fields {
    connection_number connection = 0;
    connection_end_reason end = connection_end_reason::reset;
    std::optional<error> failure; ///< Error with which the member rejected the connection.

    friend auto operator<=>(const member_connection_closed_fields&, const member_connection_closed_fields&) = default;
};

/// A connection to a member ended or could not be opened.
using member_connection_closed = immutable<member_connection_closed_fields>;

/// Events from the thread that owns the member connections to the decision thread.
using member_event = std::variant<member_connection_opened, member_reply, member_connection_closed>;

} // namespace citronfall
