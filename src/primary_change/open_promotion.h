#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

struct open_promotion_fields {
    std::string member;
    std::uint64_t fence = 0; ///< Fencing token that the order carried.

    friend auto operator<=>(const open_promotion_fields&, const open_promotion_fields&) = default;
};

/// An order to promote a member that may still be carried out: it has not been answered, and the platform is not known
/// to have seen a higher fencing token.
using open_promotion = immutable<open_promotion_fields>;

} // namespace citronfall
