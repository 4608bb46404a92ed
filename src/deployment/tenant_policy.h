#pragma once

#include "citronfall/immutable.h"

#include <string>
#include <vector>

namespace citronfall {

/// Fields of a tenant's policy.
struct tenant_policy_fields {
    std::string name;
    std::vector<std::string> keys;
    double rate_per_s = 0;
    double burst = 0;

    friend auto operator<=>(const tenant_policy_fields&, const tenant_policy_fields&) = default;
};

/// Operator settings of one tenant.
using tenant_policy = immutable<tenant_policy_fields>;

} // namespace citronfall
