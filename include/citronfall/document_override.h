#pragma once

#include "citronfall/document_part.h"
#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Fields of an override.
struct document_override_fields {
    std::string name; ///< Unique among the overrides.
    std::string author;
    std::string reason;
    std::int64_t time = 0; ///< Milliseconds since 1970 at which it was set.
    std::int64_t end = 0;  ///< Milliseconds since 1970 at which it ends; 0: when it is cleared.
    document_part_id section = document_part_id::routing;
    std::string path;  ///< JSON pointer into the content of the section.
    std::string value; ///< Encoded value that replaces, or is added, there.

    friend auto operator<=>(const document_override_fields&, const document_override_fields&) = default;
};

/// A value that an operator sets in place of what a section states, until an end.
class document_override : public immutable<document_override_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
