#pragma once

#include "citronfall/immutable.h"

#include <cstdint>

namespace citronfall {

/// Term of a group's primary; increases with each change of primary. 0: none.
using term_number = std::uint64_t;

/// Index of an entry in a group's log. 0: before the first entry.
using log_index = std::uint64_t;

struct log_position_fields {
    term_number term = 0; ///< Term in which the entry was written.
    log_index index = 0;  ///< Index of the entry.

    friend auto operator<=>(const log_position_fields&, const log_position_fields&) = default;
};

/// Position of an entry in a group's log. Ordered by term, then index.
class log_position : public immutable<log_position_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
