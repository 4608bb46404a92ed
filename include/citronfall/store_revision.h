#pragma once

#include "citronfall/ids.h"

#include <compare>
#include <cstdint>
#include <string>

namespace citronfall {

/// Number of the store's history. It rises by one when the store is restored from a copy; 0: the store reports none.
using store_era = std::uint64_t;

/// Position in the history of the store. A restored store assigns revisions again, so the era is compared first and
/// revisions of different eras say nothing about each other.
struct store_revision {
    store_era era = 0;
    kv_revision revision = 0;

    friend auto operator<=>(const store_revision&, const store_revision&) = default;
};

/// Text for logs, "ERA.REVISION". Thread-safe.
[[nodiscard]] inline std::string to_text(const store_revision& at)
{
    return std::to_string(at.era) + "." + std::to_string(at.revision);
}

} // namespace citronfall
