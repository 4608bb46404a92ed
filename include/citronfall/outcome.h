#pragma once

#include <string_view>

namespace citronfall {

/// Effect of a request, as reported to the caller.
enum class outcome {
    done,    ///< The statement was executed; the answer has its result or the database's error.
    not_run, ///< The statement was not executed and never will be.
    unknown, ///< Not known by the deadline; a retry with the same request id is safe.
};

/// Name used on the wire. Thread-safe.
[[nodiscard]] constexpr std::string_view name(outcome value)
{
    switch (value) {
    case outcome::done:
        return "done";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace citronfall
