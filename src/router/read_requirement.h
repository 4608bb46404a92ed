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
    log_position session_position;         ///< Highest position of the group's log that the session has seen.
    std::optional<duration> max_staleness; ///< Maximum staleness that the read accepts.
    bool linearizable = false;             ///< The read must reflect every write confirmed before it began.

    friend auto operator<=>(const read_requirement_fields&, const read_requirement_fields&) = default;
};

/// Consistency that a read requires.
class read_requirement : public immutable<read_requirement_fields> {
public:
    using immutable::immutable;

    /// Requirement of a request of the given class. If both state a maximum staleness, the smaller one applies. If
    /// neither does and the request has no readable session token for the group, the read must reflect every write
    /// confirmed before it began. Thread-safe.
    [[nodiscard]] static read_requirement make(const caller_request& request, const class_config& config);
};

} // namespace citronfall
