#include "leader/replica_lag_estimate.h"

#include <algorithm>

namespace citronfall {
namespace {

/// A smaller estimate takes effect gradually, by 1/decrease_divisor of the difference with each answer, because a
/// single fast answer says little.
constexpr int decrease_divisor = 4;

/// An estimate that no answer has updated for this long is ignored, so that the member is tried again. A member that is
/// far behind needs longer to catch up and is tried less often, as most of these reads are refused.
constexpr duration min_estimate_lifetime = std::chrono::seconds(1);
constexpr duration max_estimate_lifetime = std::chrono::seconds(2);

} // namespace

void replica_lag_estimate::answered(const log_position& position, const position_history& primary_positions,
                                    instant now)
{
    if (!position_ || position > *position_) {
        position_ = position;
    }
    const auto passed = primary_positions.first_seen_beyond(position);
    const duration observed_lag = passed ? std::max(now - *passed, duration{}) : duration{};
    lag_ = observed_lag > lag_ ? observed_lag : lag_ - (lag_ - observed_lag) / decrease_divisor;
    lag_updated_at_ = now;
}

void replica_lag_estimate::refused(const min_read_position& min_position, instant now)
{
    lag_ = std::max(lag_, now - min_position->known_since);
    lag_updated_at_ = now;
}

void replica_lag_estimate::tried(instant now)
{
    if (expired(now)) {
        lag_updated_at_ = now;
    }
}

bool replica_lag_estimate::expired(instant now) const
{
    return now - lag_updated_at_ > std::clamp(lag_ / 2, min_estimate_lifetime, max_estimate_lifetime);
}

bool replica_lag_estimate::likely_holds(const min_read_position& min_position, instant now) const
{
    if (position_ && *position_ >= min_position->position) {
        return true;
    }
    if (expired(now)) {
        return true;
    }
    return now - min_position->known_since > lag_;
}

} // namespace citronfall
