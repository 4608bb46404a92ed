#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"
#include "pool/session_values.h"

#include <optional>
#include <string>
#include <variant>

namespace citronfall {

/// Fields of forwarded_statement.
struct forwarded_statement_fields {
    std::string text;                  ///< As the caller sent it.
    std::optional<log_position> after; ///< The member's log must contain this position.

    friend auto operator<=>(const forwarded_statement_fields&, const forwarded_statement_fields&) = default;
};

/// A read, write or commit of a caller.
using forwarded_statement = immutable<forwarded_statement_fields>;

/// Fields of a prepared execution.
struct execute_prepared_fields {
    std::string name; ///< Name on the connection.
    std::string argument;
    std::optional<log_position> after;

    friend auto operator<=>(const execute_prepared_fields&, const execute_prepared_fields&) = default;
};

/// Execution of a prepared shape for a caller, under its name on the connection.
using execute_prepared = immutable<execute_prepared_fields>;

/// Opens a transaction that may write; only the leader accepts it.
struct begin_read_write {
    friend auto operator<=>(const begin_read_write&, const begin_read_write&) = default;
};

/// Opens a read-only transaction on a member whose log contains a position.
struct begin_read_only {
    log_position after;

    friend auto operator<=>(const begin_read_only&, const begin_read_only&) = default;
};

/// Rolls back the open transaction.
struct roll_back {
    friend auto operator<=>(const roll_back&, const roll_back&) = default;
};

/// Clears the session values and the prepared names of the connection.
struct reset_connection {
    friend auto operator<=>(const reset_connection&, const reset_connection&) = default;
};

/// Sets a session value on the connection.
struct set_value {
    std::string name;
    std::string value;

    friend auto operator<=>(const set_value&, const set_value&) = default;
};

/// Prepares a shape on the connection under a name.
struct prepare_statement {
    std::string name;
    prepared_shape shape;

    friend auto operator<=>(const prepare_statement&, const prepare_statement&) = default;
};

/// Drops a prepared shape of the connection.
struct deallocate_statement {
    std::string name;

    friend auto operator<=>(const deallocate_statement&, const deallocate_statement&) = default;
};

/// Queries role and log position. It occupies a slot of the member, so it is used only during a change of primary.
struct query_replication_status {
    friend auto operator<=>(const query_replication_status&, const query_replication_status&) = default;
};

/// Queries the status of a replica and pauses its replication until it is promoted or resumed.
struct pause_replication {
    term_number term = 0; ///< Higher than every known term.

    friend auto operator<=>(const pause_replication&, const pause_replication&) = default;
};

/// Resumes the replication of a paused replica.
struct resume_replication {
    friend auto operator<=>(const resume_replication&, const resume_replication&) = default;
};

/// Demotes a primary of a lower term to a replica and queries its status.
struct step_down {
    term_number term = 0;

    friend auto operator<=>(const step_down&, const step_down&) = default;
};

/// The statements that can be sent to a member on an open connection.
using member_statement = std::variant<forwarded_statement, execute_prepared, begin_read_write, begin_read_only,
                                      roll_back, reset_connection, set_value, prepare_statement, deallocate_statement,
                                      query_replication_status, pause_replication, resume_replication, step_down>;

} // namespace citronfall
