#pragma once

#include "citronfall/immutable.h"

#include <cstddef>

namespace citronfall {

/// Fields of the connections at the end of a process.
struct connections_left_fields {
    std::size_t connections = 0;
    std::size_t unsent_bytes = 0; ///< Bytes of answers that were not written.
    std::size_t unread_bytes = 0; ///< Bytes of callers that no message was decoded from.

    friend auto operator<=>(const connections_left_fields&, const connections_left_fields&) = default;
};

/// Callers' connections that were still open when the caller thread stopped.
using connections_left = immutable<connections_left_fields>;

} // namespace citronfall
