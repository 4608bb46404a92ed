#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <string>

namespace citronfall {

struct quota_allowance_fields {
    std::string tenant;
    std::uint32_t part = 0;
    bool held = true;          ///< The answering daemon holds the part; if not, nothing is granted.
    std::uint32_t granted = 0; ///< Operations that may be sent to members.
    duration retry_after{};    ///< Delay after which to ask again, if not all waiting operations got a grant; else 0.

    friend auto operator<=>(const quota_allowance_fields&, const quota_allowance_fields&) = default;
};

/// Answer to one quota_demand.
using quota_allowance = immutable<quota_allowance_fields>;

} // namespace citronfall
