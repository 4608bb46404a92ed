#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"
#include "citronfall/status_observation.h"
#include "citronfall/status_round.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace citronfall {

struct group_view_fields {
    std::string group;
    std::size_t member_count = 0; ///< All members of the group, including those without an observation.
    std::map<std::string, status_observation> latest; ///< Newest observation of each member.

    friend auto operator<=>(const group_view_fields&, const group_view_fields&) = default;
};

/// State of a group as known from its members' answers. All confirmations of writes and freshness checks of reads are
/// based on it.
class group_view : public immutable<group_view_fields> {
public:
    using immutable::immutable;

    /// The view with `observation` added. Ignored if its call was sent before that of the member's present observation,
    /// because answers may arrive out of order. Thread-safe.
    [[nodiscard]] group_view observe(const status_observation& observation) const;

    /// Number of members that form a majority. Thread-safe.
    [[nodiscard]] std::size_t majority() const { return (*this)->member_count / 2 + 1; }

    /// Highest term that any member reported; 0 if none did. Thread-safe.
    [[nodiscard]] term_number term() const;

    /// The member that reported to be the primary of term(); empty if none did. Thread-safe.
    [[nodiscard]] std::optional<std::string> primary() const;

    /// The view with the member's log extended to `position`, which the member reported with the answer to a statement
    /// in `term`. Unchanged if the member's newest observation is from another term. Thread-safe.
    [[nodiscard]] group_view advance(const std::string& member, term_number term, const log_position& position) const;

    /// Whether a majority of the members reported that they have `position` while they were in the position's own term.
    /// Such an entry survives every change of primary, because a change fences a majority, at least one of which has
    /// the entry, and promotes the member with the most advanced log. After a change, a position of an older term is
    /// confirmed once the new primary's log contains it and a majority has the first entry of the new term.
    /// Thread-safe.
    [[nodiscard]] bool confirmed(const log_position& position) const;

    /// Highest position that the primary reported in a call sent at or after `since`, provided that a majority reported
    /// the same term in such calls. Every write confirmed before `since` is at or below it. Empty without such a
    /// majority. Thread-safe.
    [[nodiscard]] std::optional<log_position> read_index(instant since) const;

    /// The latest completed round: read_index() at the latest possible instant. Empty if the primary of term() is
    /// unknown or no majority reported its term. Thread-safe.
    [[nodiscard]] std::optional<status_round> completed_round() const;

    /// Whether a majority reported `term` in calls sent at or after `since`, which proves that there was no later term
    /// at `since`. Thread-safe.
    [[nodiscard]] bool term_held_since(term_number term, instant since) const;

    /// Whether the log of the newest term's primary is known to lack `position`, which is from an older term.
    /// Thread-safe.
    [[nodiscard]] bool superseded(const log_position& position) const;

    /// History of the newest term's log, for comparing positions across terms. Thread-safe.
    [[nodiscard]] term_history history() const;
};

} // namespace citronfall
