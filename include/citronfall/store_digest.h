#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <vector>

namespace citronfall {

/// Fields of a store digest.
struct store_digest_fields {
    std::vector<kv_revision>
        changed_at;          ///< Highest known revision of a change in each mirrored range, in a fixed order.
    bool store_live = false; ///< The sender hears from the store.

    friend auto operator<=>(const store_digest_fields&, const store_digest_fields&) = default;
};

/// Tells a peer how new the sender's copies of the store are.
using store_digest = immutable<store_digest_fields>;

} // namespace citronfall
