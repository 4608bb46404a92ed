#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"

namespace citronfall {

struct term_start_fields {
    term_number term = 0;
    log_index start = 0; ///< Index of the first entry written in the term.

    friend auto operator<=>(const term_start_fields&, const term_start_fields&) = default;
};

/// Point in a log at which a term starts.
class term_start : public immutable<term_start_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
