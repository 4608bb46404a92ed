#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"
#include "pool/session_settings.h"

#include <optional>
#include <string>
#include <variant>

namespace citronfall {

/// Fields of a caller's statement.
struct forwarded_statement_fields {
    std::string text;                  ///< Unchanged.
    std::optional<log_position> after; ///< The member must hold this position.

    friend auto operator<=>(const forwarded_statement_fields&, const forwarded_statement_fields&) = default;
};

/// A read, write or commit of a caller.
using forwarded_statement = immutable<forwarded_statement_fields>;

/// Fields of a prepared execution.
struct execute_prepared_fields {
    std::string name; ///< On the connection.
    std::string argument;
    std::optional<log_position> after;

    friend auto operator<=>(const execute_prepared_fields&, const execute_prepared_fields&) = default;
};

/// A caller's execution of a prepared shape, under the connection's name of it.
using execute_prepared = immutable<execute_prepared_fields>;

/// Opens a transaction that may write; only the leader accepts it.
struct begin_read_write {
    friend auto operator<=>(const begin_read_write&, const begin_read_write&) = default;
};

/// Opens a transaction that only reads, on a member that holds a position.
struct begin_read_only {
    log_position after;

    friend auto operator<=>(const begin_read_only&, const begin_read_only&) = default;
};

/// Rolls back the open transaction.
struct roll_back {
    friend auto operator<=>(const roll_back&, const roll_back&) = default;
};

/// Clears the values and the prepared names of the connection.
struct reset_connection {
    friend auto operator<=>(const reset_connection&, const reset_connection&) = default;
};

/// Sets a value on the connection.
struct set_value {
    std::string name;
    std::string value;

    friend auto operator<=>(const set_value&, const set_value&) = default;
};

/// Names a shape on the connection.
struct prepare_statement {
    std::string name;
    prepared_shape shape;

    friend auto operator<=>(const prepare_statement&, const prepare_statement&) = default;
};

/// Asks for role and log position. Occupies a slot, so it is kept for a change of primary.
struct query_replication_status {
    friend auto operator<=>(const query_replication_status&, const query_replication_status&) = default;
};

/// Asks a replica for its status and keeps it from receiving until it is promoted or told to go on.
struct pause_replication {
    term_number term = 0; ///< Above the newest term.

    friend auto operator<=>(const pause_replication&, const pause_replication&) = default;
};

/// Lets a paused replica receive again.
struct resume_replication {
    friend auto operator<=>(const resume_replication&, const resume_replication&) = default;
};

/// Makes a primary of a lower term a replica and asks for its status.
struct step_down {
    term_number term = 0;

    friend auto operator<=>(const step_down&, const step_down&) = default;
};

/// Everything that is sent to a member on an open connection.
using member_statement = std::variant<forwarded_statement, execute_prepared, begin_read_write, begin_read_only,
                                      roll_back, reset_connection, set_value, prepare_statement,
                                      query_replication_status, pause_replication, resume_replication, step_down>;

} // namespace citronfall
