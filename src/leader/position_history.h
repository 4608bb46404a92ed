#pragma once

#include "citronfall/instant.h"
#include "leader/position_observation.h"

#include <deque>
#include <optional>

namespace citronfall {

/// Log positions of one service's primary over time, used to bound the staleness of replica reads.
///
/// Only answers that prove leadership may be added: those to a write, to the commit of a transaction that wrote, or to
/// a statement in a read-write transaction. A member that has lost its leadership still answers single reads, read-only
/// transactions and commits of transactions that wrote nothing. Not thread-safe: owned by the decision thread.
class position_history {
public:
    /// Adds an observation, unless it was sent shortly after a stored one.
    void add(const position_observation& observation);

    /// The observation with the lowest position among those sent at or after `earliest`; empty if there is none. A read
    /// from a log that contains this position reflects every commit acknowledged before `earliest`.
    [[nodiscard]] std::optional<position_observation> lowest_since(instant earliest) const;

    /// When the primary's log was first seen to extend beyond `position`; empty if it was not.
    [[nodiscard]] std::optional<instant> first_seen_beyond(const log_position& position) const;

    /// When the newest observation was sent; empty if there is none.
    [[nodiscard]] std::optional<instant> newest() const;

    /// Removes observations sent before `limit`.
    void forget_before(instant limit);

private:
    std::deque<position_observation> observations_; ///< Ordered by sent_at.
};

} // namespace citronfall
