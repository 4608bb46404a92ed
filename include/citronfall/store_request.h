#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <cstdint>

namespace citronfall {

struct store_request_fields {
    std::uint8_t range = 0; ///< Index of the mirrored range.
    kv_revision after = 0;  ///< The sender has the changes up to this revision.

    friend auto operator<=>(const store_request_fields&, const store_request_fields&) = default;
};

/// Requests from a peer the changes to the store that the sender missed.
using store_request = immutable<store_request_fields>;

} // namespace citronfall
