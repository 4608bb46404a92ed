#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"
#include "citronfall/term_start.h"

#include <vector>

namespace citronfall {

struct term_history_fields {
    std::vector<term_start> starts; ///< Ascending by term and by start.

    friend auto operator<=>(const term_history_fields&, const term_history_fields&) = default;
};

/// Which term wrote which range of a log. Used to tell whether a position still exists after a change of primary.
class term_history : public immutable<term_history_fields> {
public:
    using immutable::immutable;

    /// Term that wrote entry `index`; 0 if the index precedes the first term.
    [[nodiscard]] term_number term_at(log_index index) const;

    /// Whether a log with this history and the last entry `last` contains `position`. Every log contains index 0, the
    /// position before the first entry.
    [[nodiscard]] bool contains(const log_position& position, log_index last) const;

    /// Whether a later term of this history started at or below the position's index, so that the entry is no longer
    /// part of the group's log.
    [[nodiscard]] bool superseded(const log_position& position) const;

    /// Returns `position`, or the last position before the later term if it is superseded. Entries that a change of
    /// primary discards were never confirmed, so the lower position does not weaken a session's guarantees.
    [[nodiscard]] log_position clamp(const log_position& position) const;
};

} // namespace citronfall
