#pragma once

#include <cstdint>

namespace citronfall {

/// Part of the time between the arrival of a statement at a daemon and its answer.
enum class statement_phase : std::uint8_t {
    queued,      ///< Until it was assigned a connection; again after each refused or lost attempt.
    setup,       ///< Session values and prepared names on the connection, if any are missing.
    begin,       ///< Begin of its transaction, if it opens one.
    member,      ///< From sending the statement itself to its answer.
    turned_away, ///< An attempt that the member refused, from its start to the refusal.
    run,         ///< From its arrival at the daemon that runs it to its end; includes the phases above.
    relayed,     ///< At a daemon that relays it to another one: until the answer. Without `run`, the time in between.
};

/// Name for logs and metrics. Thread-safe.
[[nodiscard]] constexpr const char* statement_phase_name(statement_phase phase)
{
    switch (phase) {
    case statement_phase::queued:
        return "queued";
    case statement_phase::setup:
        return "setup";
    case statement_phase::begin:
        return "begin";
    case statement_phase::member:
        return "member";
    case statement_phase::turned_away:
        return "turned_away";
    case statement_phase::run:
        return "run";
    case statement_phase::relayed:
        break;
    }
    return "relayed";
}

} // namespace citronfall
