#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// How far an unanswered statement has got.
enum class statement_stage : std::uint8_t {
    pipelined, ///< It waits for the answer to an earlier statement of its session.
    queued,    ///< It waits for a member.
    preparing, ///< A connection to a member is being set up for it; the statement itself is not sent.
    running,   ///< It was sent to a member.
    relayed,   ///< It was sent to another daemon.
};

/// Name for logs. Thread-safe.
[[nodiscard]] constexpr const char* statement_stage_name(statement_stage stage)
{
    switch (stage) {
    case statement_stage::pipelined:
        return "pipelined";
    case statement_stage::queued:
        return "queued";
    case statement_stage::preparing:
        return "preparing";
    case statement_stage::running:
        return "running";
    case statement_stage::relayed:
        break;
    }
    return "relayed";
}

/// Fields of a statement's location.
struct statement_location_fields {
    statement_stage stage = statement_stage::queued;
    std::string member; ///< Member that prepares or runs it; else empty.
    std::string peer;   ///< Daemon that it was relayed to; else empty.

    friend auto operator<=>(const statement_location_fields&, const statement_location_fields&) = default;
};

/// Where an unanswered statement is.
using statement_location = immutable<statement_location_fields>;

} // namespace citronfall
