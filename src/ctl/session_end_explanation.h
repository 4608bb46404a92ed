#pragma once

#include <string>
#include <string_view>

namespace citronfall {

/// Where a statement without an answer was, as the fields of its log line say.
struct logged_location {
    std::string stage;
    std::string member;
    std::string peer;
};

/// Explains the reason of a session's end, as named in the log; an unknown reason is quoted. Thread-safe.
[[nodiscard]] std::string explain_session_end(std::string_view reason);

/// Explains where a statement was when its session ended. Thread-safe.
[[nodiscard]] std::string explain_location(const logged_location& location);

} // namespace citronfall
