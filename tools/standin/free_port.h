#pragma once

#include <cstdint>
#include <string>

namespace citronfall::standin {

/// A TCP port of 127.0.0.1, below the range of ephemeral ports, that was free when checked. Thread-safe.
[[nodiscard]] std::uint16_t free_port();

/// "127.0.0.1:port" with a free port. Thread-safe.
[[nodiscard]] std::string free_address();

} // namespace citronfall::standin
