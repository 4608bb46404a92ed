#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

namespace citronfall {

struct quota_rule_fields {
    duration window = std::chrono::seconds(5); ///< Length of the sliding window.
    double overage = 0;                        ///< Fraction by which a window may exceed rate x window + burst.
    double slack = 0;                          ///< Operations by which it may exceed that as well.

    friend auto operator<=>(const quota_rule_fields&, const quota_rule_fields&) = default;
};

/// How many operations of a tenant all daemons together may send to members in any window:
/// (rate x window + burst) x (1 + overage) + slack.
using quota_rule = immutable<quota_rule_fields>;

} // namespace citronfall
