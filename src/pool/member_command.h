#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"
#include "pool/member_statement.h"

#include <string>
#include <variant>
#include <vector>

namespace citronfall {

/// Fields of a connection attempt.
struct open_member_connection_fields {
    connection_number connection = 0;
    std::string address; ///< "ip:port"
    std::string service;
    std::string member; ///< Expected id; a different member at the address refuses the connection.
    std::string tenant; ///< Tenant whose statements the connection serves; empty: the daemon's own or no tenant's.

    friend auto operator<=>(const open_member_connection_fields&, const open_member_connection_fields&) = default;
};

/// Opens a connection to a member.
using open_member_connection = immutable<open_member_connection_fields>;

/// Fields of member_query.
struct member_query_fields {
    std::string request_id; ///< Request id of the caller; empty for the daemon's own statements.
    member_statement body;

    friend auto operator<=>(const member_query_fields&, const member_query_fields&) = default;
};

/// A statement to be sent to a member.
using member_query = immutable<member_query_fields>;

/// Fields of a batch of statements.
struct send_queries_fields {
    connection_number connection = 0;
    std::vector<member_query> queries;

    friend auto operator<=>(const send_queries_fields&, const send_queries_fields&) = default;
};

/// Sends several statements in one write; the member answers them in order.
using send_queries = immutable<send_queries_fields>;

/// Fields of a close.
struct close_member_connection_fields {
    connection_number connection = 0;

    friend auto operator<=>(const close_member_connection_fields&, const close_member_connection_fields&) = default;
};

/// Closes a connection. No event follows for it.
using close_member_connection = immutable<close_member_connection_fields>;

/// Commands from the decision thread to the thread that owns the member connections.
using member_command = std::variant<open_member_connection, send_queries, close_member_connection>;

} // namespace citronfall
