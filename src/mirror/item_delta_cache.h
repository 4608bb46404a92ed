#pragma once

#include "citronfall/item_delta.h"
#include "citronfall/store_item.h"
#include "citronfall/store_revision.h"
#include "mirror/mirror_table.h"

#include <map>
#include <string>
#include <utility>

namespace citronfall {

/// Encodes large items of a table as differences from values that peers hold. Many peers hold the same value, so a
/// difference is made once. Not thread-safe.
class item_delta_cache {
public:
    /// The current item as the difference from the value that the peer has at `known`, or from none if the table no
    /// longer has that value. Precondition: the item is stored in the table.
    [[nodiscard]] item_delta encode(const mirror_table& table, const store_item& item, kv_revision known);

private:
    using versions = std::pair<store_revision, kv_revision>; ///< Of the item and of its base.

    std::map<std::string, std::map<versions, item_delta>> deltas_; ///< By key; of its last revision.
};

} // namespace citronfall
