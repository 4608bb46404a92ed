#pragma once

#include "citronfall/store_revision.h"

#include <cstdint>

namespace citronfall {

/// Bits of a fencing token that hold the revision; at a million changes a second they last for 12 days, at 100 for 348
/// years.
constexpr unsigned fencing_token_revision_bits = 40;

/// Fencing token of a lock that was acquired at `at`. It grows with each acquisition, also across a restore of the
/// store, after which revisions are assigned again. In the first era it is the revision, as with releases that know no
/// eras. Thread-safe.
[[nodiscard]] constexpr std::uint64_t fencing_token(const store_revision& at)
{
    constexpr store_era first_era = 1;
    const store_era restores = at.era > first_era ? at.era - first_era : 0;
    return (restores << fencing_token_revision_bits) | at.revision;
}

} // namespace citronfall
