#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/store_item.h"

#include <map>
#include <string>

namespace citronfall::standin {

/// A lease in a copy of the store.
struct copied_lease {
    duration time_left{}; ///< When the copy was taken.
    duration time_to_live{};

    friend auto operator<=>(const copied_lease&, const copied_lease&) = default;
};

/// Fields of a copy of the store.
struct store_copy_fields {
    std::map<std::string, store_item> items;
    std::map<std::string, kv_revision> deletions;
    std::map<lease_number, copied_lease> leases;
    kv_revision revision = 0;
    kv_revision oldest_known = 0;

    friend auto operator<=>(const store_copy_fields&, const store_copy_fields&) = default;
};

/// Contents of the store at one time, from which it can be restored.
using store_copy = immutable<store_copy_fields>;

} // namespace citronfall::standin
