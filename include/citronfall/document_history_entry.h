#pragma once

#include "citronfall/document_part.h"
#include "citronfall/immutable.h"

#include <cstdint>
#include <map>
#include <string>

namespace citronfall {

struct document_history_entry_fields {
    std::uint64_t revision = 0; ///< Revision of the document after the change.
    std::string nonce;          ///< Chosen by the tool; identifies the change if its answer is lost.
    std::string author;
    std::string reason;
    std::int64_t time = 0;                           ///< Unix time in ms.
    std::map<document_part_id, std::uint64_t> parts; ///< Hash of each changed part.

    friend auto operator<=>(const document_history_entry_fields&, const document_history_entry_fields&) = default;
};

/// Accepted change of the document.
class document_history_entry : public immutable<document_history_entry_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
