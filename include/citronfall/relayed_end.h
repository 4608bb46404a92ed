#pragma once

#include "citronfall/immutable.h"

#include <compare>
#include <cstdint>

namespace citronfall {

/// Fields of an end.
struct relayed_end_fields {
    std::uint64_t transaction = 0; ///< To be rolled back; 0: none.
    std::uint64_t number = 0;      ///< Statement whose caller has left; 0: none.

    friend auto operator<=>(const relayed_end_fields&, const relayed_end_fields&) = default;
};

/// The caller no longer waits for what another daemon does for it.
using relayed_end = immutable<relayed_end_fields>;

} // namespace citronfall
