#include "lead/evidence_log.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Observations closer together than this say nearly the same; the later one is not kept.
constexpr duration spacing = std::chrono::milliseconds(10);

} // namespace

void evidence_log::add(const observation& seen)
{
    const auto place =
        std::upper_bound(seen_.begin(), seen_.end(), seen,
                         [](const observation& a, const observation& b) { return a->sent_at < b->sent_at; });
    if (place != seen_.begin() && seen->sent_at - (*std::prev(place))->sent_at < spacing) {
        return;
    }
    seen_.insert(place, seen);
}

std::optional<observation> evidence_log::lowest_since(instant earliest) const
{
    std::optional<observation> lowest;
    for (auto each = seen_.rbegin(); each != seen_.rend() && (*each)->sent_at >= earliest; ++each) {
        if (!lowest || (*each)->position <= (*lowest)->position) {
            lowest = *each;
        }
    }
    return lowest;
}

std::optional<instant> evidence_log::passed_at(const log_position& position) const
{
    for (const observation& each : seen_) {
        if (each->position > position) {
            return each->sent_at;
        }
    }
    return std::nullopt;
}

std::optional<instant> evidence_log::newest() const
{
    return seen_.empty() ? std::nullopt : std::optional(seen_.back()->sent_at);
}

void evidence_log::forget_before(instant limit)
{
    while (!seen_.empty() && seen_.front()->sent_at < limit) {
        seen_.pop_front();
    }
}

} // namespace citronfall
