#pragma once

#include "citronfall/document_part.h"
#include "citronfall/immutable.h"
#include "citronfall/part_digest.h"

#include <cstdint>
#include <vector>

namespace citronfall {

struct section_update_fields {
    std::uint64_t base = 0;           ///< Revision that the receiver has, according to its digest.
    std::uint64_t document = 0;       ///< Revision that the receiver has after the update.
    std::vector<part_digest> digests; ///< Digests of all parts after the update.
    std::vector<document_part> parts; ///< Parts that differ from the receiver's.

    friend auto operator<=>(const section_update_fields&, const section_update_fields&) = default;
};

/// Update that brings a neighbour's copy of the document up to date.
class section_update : public immutable<section_update_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
