#pragma once

#include <cstddef>

namespace citronfall {

/// All errors that a request can end with. error_table.h maps each kind to an answer.
enum class error_kind {
    bad_request,
    too_large,
    unauthorized,
    unknown_tenant,
    unknown_class,
    unknown_group,
    unknown_transaction,
    overloaded,
    limit_reached,
    deadline_before_send,
    no_primary,
    no_fresh_member,
    leaving,
    not_ready,
    term_changed,
    connect_failed,
    cancelled,
    conflict,
    transaction_lost,
    outcome_unknown,
    unknown_database,
    unknown_prepared_name,
    not_primary,
    replica_behind,
    wrong_member,
    too_many_connections,
    statement_failed,
    statement_timeout,
    internal,
    unknown_key,
};

/// Number of error kinds; `unknown_key` is the last one. Daemons exchange the numbers, so new kinds come last.
inline constexpr std::size_t error_kind_count = static_cast<std::size_t>(error_kind::unknown_key) + 1;

} // namespace citronfall
