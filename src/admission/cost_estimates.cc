#include "admission/cost_estimates.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Least weight of a new sample. The estimate follows a change within about ten requests.
constexpr double min_sample_weight = 0.1;

/// Samples after which the measured time overrides the declaration; fewer could be outliers.
constexpr std::uint32_t min_samples = 5;

/// Least ratio of the running time of a long class to that of the cheapest class, unless the class is declared long.
/// Without it, a slow member would make every class long, and all requests would share a single slot.
constexpr double min_long_ratio = 4;

constexpr duration default_short_cost = std::chrono::milliseconds(2);
constexpr duration default_long_cost = std::chrono::milliseconds(500);

} // namespace

void cost_estimates::record(const class_key& key, duration service)
{
    estimate& known = classes_[key];
    const auto sample = static_cast<double>(service.count());
    ++known.samples;
    // The first samples are averaged with equal weight, so that the very first one has no lasting influence.
    known.mean_us += (sample - known.mean_us) * std::max(min_sample_weight, 1.0 / known.samples);
    cheapest_us_ = 0;
    for (const auto& [name, each] : classes_) {
        if (each.samples >= min_samples && (cheapest_us_ == 0 || each.mean_us < cheapest_us_)) {
            cheapest_us_ = each.mean_us;
        }
    }
}

duration cost_estimates::expected(const class_key& key, bool declared_long) const
{
    const auto found = classes_.find(key);
    if (found == classes_.end()) {
        return declared_long ? default_long_cost : default_short_cost;
    }
    return duration(static_cast<duration::rep>(std::max(found->second.mean_us, 1.0)));
}

duration cost_estimates::cheapest() const
{
    return cheapest_us_ == 0 ? default_short_cost : duration(static_cast<duration::rep>(cheapest_us_));
}

bool cost_estimates::is_long(const class_key& key, bool declared_long, duration threshold) const
{
    const auto found = classes_.find(key);
    if (found == classes_.end() || found->second.samples < min_samples) {
        return declared_long;
    }
    // The measurement overrides the declaration only if it is clear: a class declared long must be clearly short, and
    // any other clearly long.
    const double bound = static_cast<double>(threshold.count()) * (declared_long ? 0.5 : 1.0);
    const bool above = found->second.mean_us >= bound;
    return above && (declared_long || found->second.mean_us >= min_long_ratio * cheapest_us_);
}

bool cost_estimates::exceeds_long_threshold(duration elapsed, duration threshold) const
{
    return elapsed >= threshold && cheapest_us_ > 0 &&
           static_cast<double>(elapsed.count()) >= min_long_ratio * cheapest_us_;
}

} // namespace citronfall
