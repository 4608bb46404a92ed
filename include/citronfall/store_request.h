#pragma once

#include "citronfall/immutable.h"
#include "citronfall/known_value.h"
#include "citronfall/store_revision.h"

#include <cstdint>
#include <vector>

namespace citronfall {

struct store_request_fields {
    std::uint8_t range = 0;      ///< Index of the mirrored range.
    store_revision after;        ///< The sender has the changes up to this revision.
    bool accepts_deltas = false; ///< Large values may be sent as item_delta; releases before it do not say so.
    std::vector<known_value> known_values; ///< Large values that the sender holds, of the era of `after`.

    friend auto operator<=>(const store_request_fields&, const store_request_fields&) = default;
};

/// Requests from a peer the changes to the store that the sender missed.
using store_request = immutable<store_request_fields>;

} // namespace citronfall
