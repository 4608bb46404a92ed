#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace citronfall {

/// Fields of a caller's connection as it counts when a new one finds no room.
struct connection_use_fields {
    std::uint64_t number = 0;
    bool started = false;   ///< Its first message has arrived.
    bool receiving = false; ///< A message has arrived in part.
    bool busy = false;      ///< It has an unanswered statement, unsent bytes or a transaction.
    instant used_at{};      ///< When it was accepted or last sent a whole message.

    friend auto operator<=>(const connection_use_fields&, const connection_use_fields&) = default;
};

/// A caller's connection as it counts when a new one finds no room.
using connection_use = immutable<connection_use_fields>;

/// The connection to close for a new one: the longest silent of those that have not sent their first message, else the
/// session that has been idle for longest, whose caller loses nothing, else the one whose message is incomplete for
/// longest, of which nothing has run. Nothing if there is none; then the new one is refused. Pure, thread-safe.
[[nodiscard]] std::optional<std::uint64_t> connection_to_evict(const std::vector<connection_use>& connections,
                                                               instant now);

} // namespace citronfall
