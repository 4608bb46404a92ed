#include "ctl/session_end_explanation.h"

#include "caller_session/session_end_reason.h"

#include <algorithm>
#include <iterator>

namespace citronfall {
namespace {

/// Explanations in the order of session_end_reason.
constexpr auto explanations = std::to_array<std::string_view>({
    "the caller ended its session",
    "the caller closed its connection",
    "reading from its connection failed",
    "writing to its connection failed",
    "its connection was closed because a message was not complete in time",
    "its connection was closed because the caller did not read its answers",
    "its connection was closed because it took none of the bytes that waited for it",
    "its connection was closed because messages of callers took too many bytes, and its own the most",
    "its connection was closed because the daemon had too many connections",
    "its connection was closed while it was idle, to make room for a new one",
    "its connection was closed after a malformed message",
    "its connection was closed because too many statements waited for answers",
    "its connection was closed because sessions kept too many values and prepared statements, and its own the most",
    "its connection was closed after the last answer of its session",
    "its connection was closed by the shutdown of the daemon",
    "its connection was closed by the shutdown of the daemon, which ended idle transactions",
    "its connection was closed by the shutdown of the daemon, whose time for running statements was over",
    "the process of the daemon ended",
    "its connection was closed because a message could not be handled (internal_error lines of the daemon)",
});
static_assert(explanations.size() == session_end_reason_names.size());

} // namespace

std::string explain_session_end(std::string_view reason)
{
    const auto* found = std::find(session_end_reason_names.begin(), session_end_reason_names.end(), reason);
    if (found == session_end_reason_names.end()) {
        return "its session ended (" + std::string(reason) + ")";
    }
    return std::string(explanations[static_cast<std::size_t>(std::distance(session_end_reason_names.begin(), found))]);
}

std::string explain_location(const logged_location& location)
{
    if (location.stage == "queued") {
        return "the statement waited for a member";
    }
    if (location.stage == "preparing") {
        return "the statement waited for its connection to member " + location.member;
    }
    if (location.stage == "running") {
        return "the statement ran on member " + location.member;
    }
    if (location.stage == "relayed") {
        return "the statement was relayed to daemon " + location.peer;
    }
    return "the statement waited for an earlier one of its session";
}

} // namespace citronfall
