#pragma once

#include "citronfall/error.h"

#include <string>
#include <utility>

namespace citronfall {

/// Makes an error that a session reports to its caller. Thread-safe.
[[nodiscard]] inline error session_error(error_kind kind, std::string detail)
{
    return error{{.kind = kind, .detail = std::move(detail)}};
}

/// Refusal of a daemon that is shutting down: nothing ran. Thread-safe.
[[nodiscard]] inline error shutdown_error()
{
    return session_error(error_kind::leaving, "the daemon is shutting down");
}

} // namespace citronfall
