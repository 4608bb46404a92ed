#pragma once

#include "citronfall/immutable.h"

#include <string>
#include <vector>

namespace citronfall {

/// Fields of a tenant's policy.
struct tenant_policy_fields {
    std::string name;
    std::vector<std::string> keys; ///< Secrets that identify the tenant's callers; never logged.
    double rate_per_s = 0;         ///< Operations a second over all daemons and databases; 0: no limit.
    double burst = 0;              ///< Operations that the tenant may start at once beyond the rate.

    friend auto operator<=>(const tenant_policy_fields&, const tenant_policy_fields&) = default;
};

/// Operator settings of one tenant.
using tenant_policy = immutable<tenant_policy_fields>;

} // namespace citronfall
