#pragma once

#include "soak/run_conditions.h"
#include "soak/soak_history.h"

#include <string>
#include <vector>

namespace citronfall::soak {

/// What the check makes of a statement.
enum class cut_verdict {
    given_up,       ///< The connection was open when the caller stopped waiting.
    unread,         ///< It reached no member, and the daemon may not have read it.
    timed_out,      ///< The timeout of statements had passed.
    disturbed,      ///< An unplanned fault was in force.
    outlasts_grace, ///< A member was still at work on it in the last sixth of the grace period.
    cut,
};

/// Name for reports. Thread-safe.
[[nodiscard]] const char* cut_verdict_name(cut_verdict verdict);

/// A statement without a complete answer.
struct cut_finding {
    cut_verdict verdict = cut_verdict::cut;
    std::string details; ///< Verdict, colon, request id, how the connection ended and the planned work around it.

    friend auto operator<=>(const cut_finding&, const cut_finding&) = default;
};

/// Finds the statements whose connection ended without a complete answer although no unplanned fault was in force.
/// Shares no decision code with the daemon.
class cut_check {
public:
    /// Returns all statements without a complete answer. Thread-safe.
    [[nodiscard]] static std::vector<cut_finding> check(const std::vector<recorded_operation>& history,
                                                        const run_conditions& conditions);
};

} // namespace citronfall::soak
