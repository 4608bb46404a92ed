#pragma once

#include "citronfall/document_part.h"
#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

/// Where a document to check comes from.
enum class document_source { platform, peer, current };

/// Fields of a document to check.
struct document_check_request_fields {
    document_source source = document_source::platform;
    kv_revision entry = 0;            ///< Of the platform's entry.
    std::string text;                 ///< The platform's value.
    std::uint64_t revision = 0;       ///< Of the document that the parts make up.
    std::vector<document_part> parts; ///< From a peer, or the present ones, to apply the active overrides anew.

    friend auto operator<=>(const document_check_request_fields&, const document_check_request_fields&) = default;
};

/// Message to the document thread: a document to check.
class document_check_request : public immutable<document_check_request_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
