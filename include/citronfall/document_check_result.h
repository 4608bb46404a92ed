#pragma once

#include "citronfall/checked_document.h"
#include "citronfall/document_check_request.h"
#include "citronfall/document_problem.h"
#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <vector>

namespace citronfall {

struct document_check_result_fields {
    document_source source = document_source::platform;
    kv_revision entry = 0;                  ///< Revision of the key-value entry.
    bool failed = false;                    ///< The entry could not be read; nothing was validated.
    std::vector<document_problem> problems; ///< Not empty: the document is rejected.
    checked_document document;

    friend auto operator<=>(const document_check_result_fields&, const document_check_result_fields&) = default;
};

/// Result of validating a document, sent by the document thread to the decision thread.
class document_check_result : public immutable<document_check_result_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
