#pragma once

#include "citronfall/immutable.h"
#include "citronfall/store_item.h"

#include <cstdint>
#include <vector>

namespace citronfall {

struct store_changes_fields {
    std::uint8_t range = 0; ///< Index of the mirrored range.
    std::vector<store_item> items;

    friend auto operator<=>(const store_changes_fields&, const store_changes_fields&) = default;
};

/// Changes to the store, including deletions, for a peer that missed them.
using store_changes = immutable<store_changes_fields>;

} // namespace citronfall
