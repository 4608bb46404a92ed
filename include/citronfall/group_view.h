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

/// Fields of a group view.
struct group_view_fields {
    std::string group;
    std::size_t member_count = 0;                     ///< Members of the group, observed or not.
    std::map<std::string, status_observation> latest; ///< Newest observation of each member.

    friend auto operator<=>(const group_view_fields&, const group_view_fields&) = default;
};

/// What one daemon knows of a group from its members' status answers. The only source of confirmations and freshness.
class group_view : public immutable<group_view_fields> {
public:
    using immutable::immutable;

    /// View that includes `observation`. An observation whose call was sent before that of the present one of the same
    /// member is dropped, because answers can arrive out of order. Thread-safe.
    [[nodiscard]] group_view observe(const status_observation& observation) const;

    /// Number of members that form a majority. Thread-safe.
    [[nodiscard]] std::size_t majority() const { return (*this)->member_count / 2 + 1; }

    /// Highest term that any member reported; 0 if none did. Thread-safe.
    [[nodiscard]] term_number term() const;

    /// Name of the member that is primary in term(), if one reported so. Thread-safe.
    [[nodiscard]] std::optional<std::string> primary() const;

    /// View in which the member's log reaches at least `position`, which the member stated in an answer to a statement
    /// while it was in `term`. Unchanged if the newest observation of the member is of another term. Thread-safe.
    [[nodiscard]] group_view advance(const std::string& member, term_number term, const log_position& position) const;

    /// Whether a majority of the members holds `position` in answers that report the position's own term. Such an entry
    /// survives every change of primary: the next one fences a majority, which includes a holder, and takes the
    /// furthest log. After a change, a position of an older term is confirmed once the new primary's log contains it
    /// and a majority holds the new term's first entry, which follows it. Thread-safe.
    [[nodiscard]] bool confirmed(const log_position& position) const;

    /// Highest position that the primary reported in a call sent at or after `since`, provided that a majority reported
    /// the same term in calls sent at or after `since`. Every write confirmed before `since` is at or below it.
    /// Absent if this is not proved. Thread-safe.
    [[nodiscard]] std::optional<log_position> read_index(instant since) const;

    /// The newest round that is complete: frontier() at the latest instant at which it is proved. Absent if the primary
    /// of term() is not known or no majority agrees with it. Thread-safe.
    [[nodiscard]] std::optional<status_round> completed_round() const;

    /// Whether a majority reported `term` in calls sent at or after `since`, so that no later term was in force at
    /// `since`. Thread-safe.
    [[nodiscard]] bool term_held_since(term_number term, instant since) const;

    /// Whether the log of the newest term's primary is known not to contain `position`, which is of an older term.
    /// Thread-safe.
    [[nodiscard]] bool superseded(const log_position& position) const;

    /// History of the newest term's log, for comparing positions across terms. Thread-safe.
    [[nodiscard]] term_history history() const;
};

} // namespace citronfall
