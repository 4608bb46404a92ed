#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

struct quota_demand_fields {
    std::string tenant;
    std::uint32_t part = 0;    ///< Part of the tenant's quota; see quota_parts.h.
    std::uint32_t waiting = 0; ///< Operations that wait for a grant.
    std::uint32_t ahead = 0;   ///< Operations that are expected soon.
    double rate_per_s = 0;     ///< Limit in the sender's configuration.
    double burst = 0;          ///< As rate_per_s.

    friend auto operator<=>(const quota_demand_fields&, const quota_demand_fields&) = default;
};

/// Operations of a tenant for which a daemon asks the holder of a part of the tenant's quota.
using quota_demand = immutable<quota_demand_fields>;

} // namespace citronfall
