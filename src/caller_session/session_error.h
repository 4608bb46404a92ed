#pragma once

#include "citronfall/error.h"

#include <string>
#include <utility>

namespace citronfall {

/// An error that a session tells its caller. Thread-safe.
[[nodiscard]] inline error session_error(error_kind kind, std::string detail)
{
    return error{{.kind = kind, .detail = std::move(detail)}};
}

} // namespace citronfall
