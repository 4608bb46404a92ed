#include "pool/latency_estimate.h"

#include <cmath>

namespace citronfall {
namespace {

/// Time after which an answer counts for 1/e of the estimate.
constexpr double memory_s = 0.5;

/// Time after which an estimate without new answers has come within 1/e of the typical value.
constexpr double forget_s = 2.0;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace

void latency_estimate::answered(duration latency, instant now)
{
    if (!measured_) {
        measured_ = true;
        value_ = latency;
        seen_ = now;
        return;
    }
    const double old_weight = std::exp(-seconds(now - seen_) / memory_s);
    // Statements differ a lot in work, so one answer counts at most for a third.
    constexpr double max_new_weight = 0.33;
    const double new_weight = std::min(std::max(1 - old_weight, 0.1), max_new_weight);
    value_ = from_seconds(seconds(value_) * (1 - new_weight) + seconds(latency) * new_weight);
    seen_ = now;
}

duration latency_estimate::at(instant now, duration typical) const
{
    if (!measured_) {
        return typical;
    }
    const double kept = std::exp(-seconds(now - seen_) / forget_s);
    return from_seconds(seconds(value_) * kept + seconds(typical) * (1 - kept));
}

} // namespace citronfall
