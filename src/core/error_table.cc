#include "citronfall/error_table.h"

#include <array>
#include <cassert>

namespace citronfall {
namespace {

constexpr auto table = std::to_array<error_row>({
    {error_kind::bad_request, "bad_request", 400, outcome::not_run, false, "The request is malformed."},
    {error_kind::too_large, "too_large", 413, outcome::not_run, false, "The request is larger than allowed."},
    {error_kind::unauthorized, "unauthorized", 401, outcome::not_run, false, "The operator key is missing or wrong."},
    {error_kind::unknown_tenant, "unknown_tenant", 404, outcome::not_run, false, "The document has no such tenant."},
    {error_kind::unknown_class, "unknown_class", 404, outcome::not_run, false, "The tenant has no such class."},
    {error_kind::unknown_group, "unknown_group", 404, outcome::not_run, false, "The document has no such group."},
    {error_kind::unknown_transaction, "unknown_transaction", 404, outcome::not_run, false,
     "This daemon has no such open transaction; it was rolled back or belongs to another daemon."},
    {error_kind::overloaded, "overloaded", 503, outcome::not_run, true, "The daemon has no capacity left."},
    {error_kind::limit_reached, "limit_reached", 429, outcome::not_run, true,
     "The tenant or class has reached its limit."},
    {error_kind::deadline_before_send, "deadline_before_send", 504, outcome::not_run, true,
     "The deadline passed before the statement was sent."},
    {error_kind::no_primary, "no_primary", 503, outcome::not_run, true, "The group has no reachable primary."},
    {error_kind::no_fresh_member, "no_fresh_member", 503, outcome::not_run, true,
     "No member could prove data that is fresh enough before the deadline."},
    {error_kind::leaving, "leaving", 503, outcome::not_run, true, "The daemon is shutting down."},
    {error_kind::not_ready, "not_ready", 503, outcome::not_run, true, "The daemon has no document yet."},
    {error_kind::term_changed, "term_changed", 503, outcome::not_run, true,
     "The primary changed and the member refused the statement."},
    {error_kind::connect_failed, "connect_failed", 503, outcome::not_run, true,
     "No connection to the member could be opened."},
    {error_kind::cancelled, "cancelled", 409, outcome::not_run, false,
     "The request id was cancelled; use a new id to run the statement."},
    {error_kind::conflict, "conflict", 409, outcome::done, false, "The database refused the statement."},
    {error_kind::transaction_lost, "transaction_lost", 409, outcome::not_run, true, "The transaction was rolled back."},
    {error_kind::outcome_unknown, "outcome_unknown", 504, outcome::unknown, true,
     "The outcome could not be proved in time; ask again with the same request id."},
    {error_kind::unknown_database, "unknown_database", 404, outcome::not_run, false, "No route has this database."},
    {error_kind::unknown_prepared_name, "unknown_prepared_name", 404, outcome::not_run, false,
     "The session has no prepared statement of this name."},
    {error_kind::not_primary, "not_primary", 503, outcome::not_run, true, "The member does not lead its group."},
    {error_kind::replica_behind, "replica_behind", 503, outcome::not_run, true,
     "The member has not applied the position that the read requires."},
    {error_kind::wrong_member, "wrong_member", 503, outcome::not_run, true,
     "Another member answers at the address of this one."},
    {error_kind::too_many_connections, "too_many_connections", 503, outcome::not_run, true,
     "The member accepts no further connection."},
    {error_kind::statement_failed, "statement_failed", 500, outcome::unknown, true,
     "The member ran the statement and reported a failure."},
    {error_kind::statement_timeout, "statement_timeout", 504, outcome::unknown, true,
     "The statement was sent and no answer came within the timeout of its route."},
    {error_kind::internal, "internal", 500, outcome::unknown, true,
     "The daemon failed; ask again with the same request id."},
    {error_kind::unknown_key, "unknown_key", 401, outcome::not_run, false, "No tenant has the caller's key."},
});

constexpr bool rows_match_enumeration()
{
    for (std::size_t i = 0; i < table.size(); ++i) {
        if (static_cast<std::size_t>(table[i].kind) != i) {
            return false;
        }
    }
    return true;
}

static_assert(table.size() == error_kind_count, "each error kind has one row");
static_assert(rows_match_enumeration(), "rows are in the order of the enumeration");

} // namespace

std::span<const error_row> error_table()
{
    return table;
}

const error_row& error_row_for(error_kind kind)
{
    const auto row = static_cast<std::size_t>(kind);
    assert(row < table.size());
    return table[row];
}

} // namespace citronfall
