#pragma once

#include "citronfall/immutable.h"

#include <string>

namespace citronfall {

/// Fields of a json_problem.
struct json_problem_fields {
    std::string path;    ///< Such as "listen.port" or "groups[1].members[0].address".
    std::string found;   ///< Description of the value found.
    std::string allowed; ///< Description of the allowed values.

    friend auto operator<=>(const json_problem_fields&, const json_problem_fields&) = default;
};

/// A value in a JSON text that does not conform to the schema.
class json_problem : public immutable<json_problem_fields> {
public:
    using immutable::immutable;

    /// One line with the path, the value found and the allowed values. Thread-safe.
    [[nodiscard]] std::string text() const
    {
        return (*this)->path + ": found " + (*this)->found + ", allowed: " + (*this)->allowed;
    }
};

} // namespace citronfall
