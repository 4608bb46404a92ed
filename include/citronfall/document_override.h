#pragma once

#include "citronfall/document_part.h"
#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

struct document_override_fields {
    std::string name; ///< Unique among the overrides.
    std::string author;
    std::string reason;
    std::int64_t time = 0; ///< When it was set; Unix time in ms.
    std::int64_t end = 0;  ///< Expiry, Unix time in ms; 0: until it is cleared.
    document_part_id section = document_part_id::routing;
    std::string path;  ///< JSON pointer into the section's content.
    std::string value; ///< Encoded value that is set at `path`.

    friend auto operator<=>(const document_override_fields&, const document_override_fields&) = default;
};

/// Temporary value that an operator sets in place of one in a section.
class document_override : public immutable<document_override_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
