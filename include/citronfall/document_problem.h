#pragma once

#include "citronfall/immutable.h"

#include <string>

namespace citronfall {

struct document_problem_fields {
    std::string section; ///< Empty: the document as a whole.
    std::string path;
    std::string found;
    std::string allowed;

    friend auto operator<=>(const document_problem_fields&, const document_problem_fields&) = default;
};

/// Reason why a document, or a change to it, is rejected.
class document_problem : public immutable<document_problem_fields> {
public:
    using immutable::immutable;

    /// Human-readable line with section, path, what was found and what is allowed. Thread-safe.
    [[nodiscard]] std::string text() const;
};

} // namespace citronfall
