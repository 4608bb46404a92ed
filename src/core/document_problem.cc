#include "citronfall/document_problem.h"

namespace citronfall {

std::string document_problem::text() const
{
    const document_problem_fields& fields = **this;
    std::string place = fields.section.empty() ? "document" : "section " + fields.section;
    if (!fields.path.empty()) {
        place += ", " + fields.path;
    }
    return place + ": found " + fields.found + ", allowed " + fields.allowed;
}

} // namespace citronfall
