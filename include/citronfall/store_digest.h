#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/store_revision.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace citronfall {

struct range_digest_fields {
    store_revision changed_at;             ///< Highest known revision of a change.
    store_revision complete_to;            ///< No change up to this revision is missing.
    std::optional<std::uint64_t> contents; ///< Digest of the items; releases before it send none.

    friend auto operator<=>(const range_digest_fields&, const range_digest_fields&) = default;
};

/// State of a daemon's copy of one range of the store.
using range_digest = immutable<range_digest_fields>;

struct store_digest_fields {
    std::vector<range_digest> ranges;          ///< In a fixed order.
    bool store_live = false;                   ///< The sender watches the store and reaches it.
    std::optional<duration> current_age;       ///< How long ago the copies were last known to be up to date, if ever.
    std::optional<duration> store_failure_age; ///< How long ago a watcher last failed to reach the store, if known.

    friend auto operator<=>(const store_digest_fields&, const store_digest_fields&) = default;
};

/// Gossip message with the state of the sender's copies of the store.
using store_digest = immutable<store_digest_fields>;

} // namespace citronfall
