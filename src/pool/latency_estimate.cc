#include "pool/latency_estimate.h"

#include <cmath>

namespace citronfall {
namespace {

/// Time constant of the moving average: after it, a sample has a weight of 1/e.
constexpr double averaging_time_s = 0.5;

/// Time constant of the decay towards the typical value without new answers.
constexpr double decay_time_s = 2.0;

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
        updated_at_ = now;
        return;
    }
    const double old_weight = std::exp(-seconds(now - updated_at_) / averaging_time_s);
    // The cost of statements varies widely, so one answer gets at most a third of the weight.
    constexpr double max_new_weight = 0.33;
    const double new_weight = std::min(std::max(1 - old_weight, 0.1), max_new_weight);
    value_ = from_seconds(seconds(value_) * (1 - new_weight) + seconds(latency) * new_weight);
    updated_at_ = now;
}

duration latency_estimate::at(instant now, duration typical) const
{
    if (!measured_) {
        return typical;
    }
    const double kept = std::exp(-seconds(now - updated_at_) / decay_time_s);
    return from_seconds(seconds(value_) * kept + seconds(typical) * (1 - kept));
}

} // namespace citronfall
