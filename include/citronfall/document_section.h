#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

struct document_section_fields {
    std::string owner;          ///< Team that may change the section; empty: anyone.
    std::uint64_t revision = 0; ///< Revision of the document that last changed the section.
    std::string author;
    std::string reason;
    std::int64_t time = 0; ///< Unix time in ms, according to the operators' tool.
    std::string content;   ///< Canonical encoding: equal contents have equal texts.

    friend auto operator<=>(const document_section_fields&, const document_section_fields&) = default;
};

/// Section of the document, with its owner and its last change.
class document_section : public immutable<document_section_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
