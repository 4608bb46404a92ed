#pragma once

#include "citronfall/instant.h"
#include "leader/position_observation.h"

#include <deque>
#include <optional>

namespace citronfall {

/// What a daemon observed of the primary's log of one service, for reads that accept data of a stated age.
///
/// Only answers that prove the lead may be added: a statement inside a transaction that may write, a write or its
/// commit. A single read, a read-only transaction and the commit of a transaction that wrote nothing are also answered
/// by a member that lost the lead. Not thread-safe: owned by the decision thread.
class position_history {
public:
    /// Adds an observation.
    void add(const position_observation& seen);

    /// The observation with the lowest position among those sent at or after `earliest`, if there is one. A read on a
    /// log that holds this position shows every commit acknowledged before `earliest`.
    [[nodiscard]] std::optional<position_observation> lowest_since(instant earliest) const;

    /// When the primary's log was first observed beyond `position`; nothing if it was not.
    [[nodiscard]] std::optional<instant> first_seen_beyond(const log_position& position) const;

    /// When the newest observation was sent; nothing without one.
    [[nodiscard]] std::optional<instant> newest() const;

    /// Forgets observations sent before `limit`.
    void forget_before(instant limit);

private:
    std::deque<position_observation> seen_; ///< Ordered by sent_at.
};

} // namespace citronfall
