#include "metrics/latency_histogram.h"

#include <algorithm>
#include <cassert>
#include <cmath>

#include <boost/histogram/axis/regular.hpp>

namespace citronfall {
namespace {

// 8 decades with 48 buckets each: consecutive bounds differ by a factor of 10^(1/48), that is by 4.9%.
using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
const log_axis axis(8 * 48, 1.0, 1e8);

} // namespace

latency_histogram::latency_histogram() : buckets_(static_cast<std::size_t>(axis.size()), 0) {}

void latency_histogram::record(duration value)
{
    const auto microseconds = static_cast<double>(std::max<duration::rep>(value.count(), 1));
    const int bucket = std::clamp(axis.index(microseconds), 0, axis.size() - 1);
    ++buckets_[static_cast<std::size_t>(bucket)];
    ++count_;
    max_ = std::max(max_, value);
}

duration latency_histogram::quantile(double fraction) const
{
    assert(fraction >= 0 && fraction <= 1);
    if (count_ == 0) {
        return duration{0};
    }
    const auto rank =
        std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(count_))));
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < buckets_.size(); ++i) {
        seen += buckets_[i];
        if (seen >= rank) {
            const duration bound(static_cast<duration::rep>(std::ceil(axis.value(static_cast<double>(i) + 1.0))));
            return std::min(bound, max_);
        }
    }
    return max_;
}

} // namespace citronfall
