#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace citronfall {

/// Why a caller's session or connection ended.
enum class session_end_reason : std::uint8_t {
    caller_left,         ///< The caller sent a message that ends the session.
    caller_closed,       ///< The caller closed its connection.
    read_failed,         ///< Reading from the connection failed.
    write_failed,        ///< Writing to the connection failed.
    message_timeout,     ///< The first message, or the rest of a message, did not arrive in time.
    unsent_limit,        ///< Too many bytes of answers waited for callers, and the most for this one.
    output_timeout,      ///< The caller took none of the bytes that waited for it.
    input_limit,         ///< Messages of callers took too many bytes, and those of this one the most.
    connection_limit,    ///< The daemon had too many connections and closed the new one.
    evicted,             ///< The daemon had too many connections and closed this idle one for a new one.
    malformed_message,   ///< The caller sent something that is not a valid message.
    pipeline_limit,      ///< The caller sent too many statements without waiting for their answers.
    state_limit,         ///< Sessions kept too many bytes, and this one the most.
    closed_by_daemon,    ///< The connection was closed after the last answer of a session that had ended before.
    shutdown,            ///< The daemon is shutting down, and the session had no statement and no transaction.
    transaction_overdue, ///< The daemon is shutting down, and a transaction was idle past its time.
    shutdown_overdue,    ///< The daemon is shutting down, and the time for running statements was over.
    process_ended,       ///< The process of the daemon ended.
    internal_error,      ///< A message of the session could not be handled.
};

/// Names of the reasons in logs and metrics, in the order of the enumeration.
inline constexpr auto session_end_reason_names = std::to_array<std::string_view>(
    {"caller_left", "caller_closed", "read_failed", "write_failed", "message_timeout", "unsent_limit", "output_timeout",
     "input_limit", "connection_limit", "evicted", "malformed_message", "pipeline_limit", "state_limit",
     "closed_by_daemon", "shutdown", "transaction_overdue", "shutdown_overdue", "process_ended", "internal_error"});
static_assert(session_end_reason_names.size() == static_cast<std::size_t>(session_end_reason::internal_error) + 1);

/// Name of a reason in logs and metrics. Thread-safe.
[[nodiscard]] constexpr std::string_view session_end_reason_name(session_end_reason reason)
{
    return session_end_reason_names[static_cast<std::size_t>(reason)];
}

} // namespace citronfall
