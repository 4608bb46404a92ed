#pragma once

#include "citronfall/document_history_entry.h"
#include "citronfall/document_override.h"
#include "citronfall/document_section.h"
#include "citronfall/immutable.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronfall {

struct document_state_fields {
    std::uint64_t revision = 0; ///< Incremented by each accepted change; 0: no document.
    std::string nonce;          ///< Of the last change.
    std::map<document_part_id, document_section> sections;
    std::vector<document_override> overrides;
    std::vector<document_history_entry> history; ///< Bounded; oldest first.

    friend auto operator<=>(const document_state_fields&, const document_state_fields&) = default;
};

/// The operators' document: its sections, overrides and history, with encoded contents.
class document_state : public immutable<document_state_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
