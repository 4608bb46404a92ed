#pragma once

#include "citronfall/immutable.h"

#include <map>
#include <string>

namespace citronfall {

/// Kinds of rules that hold on every path through a chart.
enum class chart_rule {
    at_most_once,  ///< `action` runs at most once.
    never_after,   ///< `action` never runs after `other`.
    always_before, ///< `action` runs only after `other`.
};

struct chart_invariant_fields {
    chart_rule rule = chart_rule::at_most_once;
    std::string action;
    std::string other;
    std::map<std::string, bool> assume; ///< Fixed values of guards; the others take both values.

    friend auto operator<=>(const chart_invariant_fields&, const chart_invariant_fields&) = default;
};

/// Invariant declared by a chart and checked by `chart_invariant_checker`.
class chart_invariant : public immutable<chart_invariant_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
