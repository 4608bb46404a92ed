#include "overload/session_eviction.h"

#include <tuple>

namespace citronfall {
namespace {

/// A caller that pauses for less is taken to be between two statements.
constexpr duration min_idle_time = std::chrono::seconds(1);

/// A connection whose first message is on its way is not closed.
constexpr duration min_silent_time = std::chrono::milliseconds(100);

bool may_be_evicted(const connection_use& each, instant now)
{
    return !each->busy && now - each->used_at >= (each->started ? min_idle_time : min_silent_time);
}

/// The lowest one is evicted.
std::tuple<bool, bool, instant> rank(const connection_use& each)
{
    return {each->started, each->started && each->receiving, each->used_at};
}

} // namespace

std::optional<std::uint64_t> connection_to_evict(const std::vector<connection_use>& connections, instant now)
{
    const connection_use* chosen = nullptr;
    for (const connection_use& each : connections) {
        if (may_be_evicted(each, now) && (chosen == nullptr || rank(each) < rank(*chosen))) {
            chosen = &each;
        }
    }
    return chosen == nullptr ? std::nullopt : std::optional((*chosen)->number);
}

} // namespace citronfall
