#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Number of a lease of the store; 0: none.
using lease_number = std::uint64_t;

/// Fields of an item.
struct store_item_fields {
    std::string key;
    std::string value;        ///< Any bytes. Empty if deleted.
    kv_revision revision = 0; ///< Of the last change or of the deletion.
    lease_number lease = 0;   ///< The store removes the item when this lease ends.
    bool deleted = false;

    friend auto operator<=>(const store_item_fields&, const store_item_fields&) = default;
};

/// One key of the platform's store as it was at a revision.
using store_item = immutable<store_item_fields>;

} // namespace citronfall
