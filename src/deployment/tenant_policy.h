#pragma once

#include "citronfall/immutable.h"

#include <string>
#include <vector>

namespace citronfall {

struct tenant_policy_fields {
    std::string name;
    std::vector<std::string> keys; ///< Any of them identifies a caller of the tenant.
    double rate_per_s = 0;         ///< Operations a second over all daemons; 0: no limit.
    double burst = 0;              ///< Operations at once.

    friend auto operator<=>(const tenant_policy_fields&, const tenant_policy_fields&) = default;
};

/// Operator settings of one tenant.
using tenant_policy = immutable<tenant_policy_fields>;

} // namespace citronfall
