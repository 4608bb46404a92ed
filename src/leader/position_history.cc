#include "leader/position_history.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Minimum spacing of stored observations; the later of two closer ones adds little and is dropped.
constexpr duration min_spacing = std::chrono::milliseconds(10);

} // namespace

void position_history::add(const position_observation& observation)
{
    const auto place = std::upper_bound(
        observations_.begin(), observations_.end(), observation,
        [](const position_observation& a, const position_observation& b) { return a->sent_at < b->sent_at; });
    if (place != observations_.begin() && observation->sent_at - (*std::prev(place))->sent_at < min_spacing) {
        return;
    }
    observations_.insert(place, observation);
}

std::optional<position_observation> position_history::lowest_since(instant earliest) const
{
    std::optional<position_observation> lowest;
    for (auto each = observations_.rbegin(); each != observations_.rend() && (*each)->sent_at >= earliest; ++each) {
        if (!lowest || (*each)->position <= (*lowest)->position) {
            lowest = *each;
        }
    }
    return lowest;
}

std::optional<instant> position_history::first_seen_beyond(const log_position& position) const
{
    for (const position_observation& each : observations_) {
        if (each->position > position) {
            return each->sent_at;
        }
    }
    return std::nullopt;
}

std::optional<instant> position_history::newest() const
{
    return observations_.empty() ? std::nullopt : std::optional(observations_.back()->sent_at);
}

void position_history::forget_before(instant limit)
{
    while (!observations_.empty() && observations_.front()->sent_at < limit) {
        observations_.pop_front();
    }
}

} // namespace citronfall
