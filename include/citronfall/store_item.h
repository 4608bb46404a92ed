#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Id of a lease in the store; 0: none.
using lease_number = std::uint64_t;

struct store_item_fields {
    std::string key;
    std::string value;        ///< Arbitrary bytes; empty if deleted.
    kv_revision revision = 0; ///< Revision of the last write or of the deletion.
    lease_number lease = 0;   ///< The store removes the item when this lease expires.
    bool deleted = false;

    friend auto operator<=>(const store_item_fields&, const store_item_fields&) = default;
};

/// Key and value in the platform's store at a revision.
using store_item = immutable<store_item_fields>;

} // namespace citronfall
