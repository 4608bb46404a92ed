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

} // namespace citronfall
