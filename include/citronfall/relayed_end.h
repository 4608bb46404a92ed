#pragma once

#include "citronfall/immutable.h"

#include <compare>
#include <cstdint>

namespace citronfall {

struct relayed_end_fields {
    std::uint64_t transaction = 0; ///< Transaction to roll back; 0: none.
    std::uint64_t number = 0;      ///< Statement to cancel; 0: none.

    friend auto operator<=>(const relayed_end_fields&, const relayed_end_fields&) = default;
};

/// Ends a relayed statement or transaction whose result the caller no longer needs.
using relayed_end = immutable<relayed_end_fields>;

} // namespace citronfall
