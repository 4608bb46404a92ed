#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"
#include "citronfall/store_item.h"

#include <string>

namespace citronfall {

struct item_delta_fields {
    std::string key;
    kv_revision revision = 0;      ///< Revision of the value.
    lease_number lease = 0;        ///< As in store_item.
    kv_revision base_revision = 0; ///< Revision of the value of the same key that the delta starts from; 0: none.
    std::string delta;             ///< See make_value_delta().

    friend auto operator<=>(const item_delta_fields&, const item_delta_fields&) = default;
};

/// An item of the store with a large value, sent as the difference from an earlier value or compressed.
using item_delta = immutable<item_delta_fields>;

} // namespace citronfall
