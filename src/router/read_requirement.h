#pragma once

#include "citronfall/caller_request.h"
#include "citronfall/class_config.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"

#include <optional>

namespace citronfall {

/// Fields of a read requirement.
struct read_requirement_fields {
    log_position seen;           ///< Highest position of the group that the session has seen.
    std::optional<duration> age; ///< Greatest age that the read accepts.
    bool fresh = false;          ///< The answer must be proved to reflect every write confirmed before the read began.

    friend auto operator<=>(const read_requirement_fields&, const read_requirement_fields&) = default;
};

/// What an answer to a read must reflect.
class read_requirement : public immutable<read_requirement_fields> {
public:
    using immutable::immutable;

    /// Requirement of a request of a class. Of the two ages the stricter holds; a single one holds alone. A request
    /// without an age and without a readable token that names the group requires a fresh answer. Thread-safe.
    [[nodiscard]] static read_requirement make(const caller_request& request, const class_config& rules);
};

} // namespace citronfall
