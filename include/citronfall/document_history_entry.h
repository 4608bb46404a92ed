#pragma once

#include "citronfall/document_part.h"
#include "citronfall/immutable.h"

#include <cstdint>
#include <map>
#include <string>

namespace citronfall {

/// Fields of a history entry.
struct document_history_entry_fields {
    std::uint64_t revision = 0; ///< Of the document after the change.
    std::string nonce;          ///< Chosen by the tool; tells whose change took effect when an answer is lost.
    std::string author;
    std::string reason;
    std::int64_t time = 0;                           ///< Milliseconds since 1970.
    std::map<document_part_id, std::uint64_t> parts; ///< Hash of each part that the change set.

    friend auto operator<=>(const document_history_entry_fields&, const document_history_entry_fields&) = default;
};

/// One accepted change of the document.
class document_history_entry : public immutable<document_history_entry_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
