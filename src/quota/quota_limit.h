#pragma once

#include "citronfall/immutable.h"

namespace citronfall {

struct quota_limit_fields {
    double rate_per_s = 0; ///< Operations a second.
    double burst = 0;      ///< Operations at once.

    friend auto operator<=>(const quota_limit_fields&, const quota_limit_fields&) = default;
};

/// Limit of a tenant over all daemons.
using quota_limit = immutable<quota_limit_fields>;

} // namespace citronfall
