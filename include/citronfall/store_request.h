#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <cstdint>

namespace citronfall {

/// Fields of a request for changes.
struct store_request_fields {
    std::uint8_t range = 0; ///< Index of the mirrored range.
    kv_revision after = 0;  ///< Changes up to this revision are known.

    friend auto operator<=>(const store_request_fields&, const store_request_fields&) = default;
};

/// Asks a peer for changes of the store that the sender missed.
using store_request = immutable<store_request_fields>;

} // namespace citronfall
