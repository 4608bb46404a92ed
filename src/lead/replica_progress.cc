#include "lead/replica_progress.h"

#include <algorithm>

namespace citronfall {
namespace {

/// A new, smaller estimate replaces a larger one by this share at a time, because one lucky answer says little.
constexpr int shrink_divisor = 4;

/// An estimate that no answer confirmed for this long is no longer held against the member: it is tried again.
constexpr duration estimate_lifetime = std::chrono::seconds(1);

} // namespace

void replica_progress::answered(const log_position& position, const evidence_log& evidence, instant now)
{
    if (!position_ || position > *position_) {
        position_ = position;
    }
    const auto passed = evidence.passed_at(position);
    const duration seen = passed ? std::max(now - *passed, duration{}) : duration{};
    lag_ = seen > lag_ ? seen : lag_ - (lag_ - seen) / shrink_divisor;
    lag_seen_ = now;
}

void replica_progress::refused(const read_floor& floor, instant now)
{
    lag_ = std::max(lag_, now - floor->known_since);
    lag_seen_ = now;
}

bool replica_progress::holds(const read_floor& floor, instant now) const
{
    if (position_ && *position_ >= floor->position) {
        return true;
    }
    if (now - lag_seen_ > estimate_lifetime) {
        return true;
    }
    return now - floor->known_since > lag_;
}

} // namespace citronfall
