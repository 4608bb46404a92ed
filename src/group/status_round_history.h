#pragma once

#include "citronfall/instant.h"
#include "citronfall/status_round.h"

#include <cstddef>
#include <deque>

namespace citronfall {

/// The recent status rounds of one group, oldest first. Keeps at most 1,024 rounds that are at least 5 ms apart, which
/// cover 5 s of a busy group and 100 s of an idle one.
///
/// Not thread-safe: owned by the decision thread.
class status_round_history {
public:
    /// Adds a round. Ignores a round that is not newer than the last one. Replaces the last round if that follows its
    /// predecessor within 5 ms.
    void add(const status_round& round);

    /// The oldest round sent at or after `since`, or null. Its position is the lowest known one that includes every
    /// write confirmed before `since`. Valid until the next call of add().
    [[nodiscard]] const status_round* oldest_since(instant since) const;

    [[nodiscard]] std::size_t size() const { return rounds_.size(); }

private:
    std::deque<status_round> rounds_;
};

} // namespace citronfall
