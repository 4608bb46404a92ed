#pragma once

#include "citronfall/instant.h"
#include "citronfall/status_round.h"

#include <cstddef>
#include <deque>

namespace citronfall {

/// The recent evidence rounds of one group, oldest first. Bounded: 1,024 rounds at least 5 ms apart, which are 5 s of a
/// busy group and 100 s of an idle one.
///
/// Not thread-safe: owned by the decision thread.
class status_round_history {
public:
    /// Adds a round. A round that is not newer than the last one is dropped; one that follows its predecessor closely
    /// replaces the last one.
    void add(const status_round& round);

    /// The oldest round sent at or after `since`, or null. Its position is the lowest that suffices for a read that
    /// must reflect every write confirmed before `since`. Valid until the next call of add().
    [[nodiscard]] const status_round* oldest_since(instant since) const;

    /// Number of rounds kept.
    [[nodiscard]] std::size_t size() const { return rounds_.size(); }

private:
    std::deque<status_round> rounds_;
};

} // namespace citronfall
