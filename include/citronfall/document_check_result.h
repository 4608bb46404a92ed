#pragma once

#include "citronfall/checked_document.h"
#include "citronfall/document_check_request.h"
#include "citronfall/document_problem.h"
#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <vector>

namespace citronfall {

/// Fields of a document event.
struct document_check_result_fields {
    document_source source = document_source::platform;
    kv_revision entry = 0;                  ///< Of the platform's entry.
    bool failed = false;                    ///< The platform did not answer; nothing was checked.
    std::vector<document_problem> problems; ///< Not empty: the document is refused.
    checked_document document;

    friend auto operator<=>(const document_check_result_fields&, const document_check_result_fields&) = default;
};

/// Message to the decision thread: a document was checked, or could not be read.
class document_check_result : public immutable<document_check_result_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
