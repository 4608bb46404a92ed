#pragma once

#include "citronfall/immutable.h"

#include <map>
#include <string>

namespace citronfall {

/// Rule that every path through a chart keeps.
enum class chart_rule {
    at_most_once,  ///< `action` is executed at most once.
    never_after,   ///< `action` is never executed once `other` has been.
    always_before, ///< `action` is executed only after `other` has been.
};

/// Fields of an invariant.
struct chart_invariant_fields {
    chart_rule rule = chart_rule::at_most_once;
    std::string action;
    std::string other;
    std::map<std::string, bool> assume; ///< Fixed values of guards for the walk; other guards take both values.

    friend auto operator<=>(const chart_invariant_fields&, const chart_invariant_fields&) = default;
};

/// An invariant that a chart declares and chart_invariant_checker checks.
class chart_invariant : public immutable<chart_invariant_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
