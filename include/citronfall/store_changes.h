#pragma once

#include "citronfall/immutable.h"
#include "citronfall/item_delta.h"
#include "citronfall/store_item.h"
#include "citronfall/store_revision.h"

#include <cstdint>
#include <vector>

namespace citronfall {

struct store_changes_fields {
    std::uint8_t range = 0; ///< Index of the mirrored range.
    store_revision at;      ///< The sender's highest revision of the range; all items are of its era.
    bool complete = false;  ///< The items are the whole content of the range.
    std::vector<store_item> items;
    std::vector<item_delta> deltas; ///< Further items, with large values.

    friend auto operator<=>(const store_changes_fields&, const store_changes_fields&) = default;
};

/// Changes to the store, including deletions, for a peer that missed them.
using store_changes = immutable<store_changes_fields>;

} // namespace citronfall
