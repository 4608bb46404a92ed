#pragma once

#include "citronfall/document_part.h"
#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

/// Origin of a document.
enum class document_source { platform, peer, current };

struct document_check_request_fields {
    document_source source = document_source::platform;
    kv_revision entry = 0;            ///< Revision of the key-value entry.
    std::string text;                 ///< Value of the key-value entry.
    std::uint64_t revision = 0;       ///< Revision of the document that consists of the parts.
    std::vector<document_part> parts; ///< From a peer, or the current ones to reapply the overrides.

    friend auto operator<=>(const document_check_request_fields&, const document_check_request_fields&) = default;
};

/// Request to validate a document, sent by the decision thread to the document thread.
class document_check_request : public immutable<document_check_request_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
