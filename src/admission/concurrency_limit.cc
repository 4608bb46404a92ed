#include "admission/concurrency_limit.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Short enough for the limit to follow a change of load within 2 s in several steps.
constexpr duration window_length = std::chrono::milliseconds(100);
constexpr std::uint32_t min_window_samples = 8;

/// Least samples of a class in a window. The mean of fewer is noise, and the lowest of such means would be an
/// unattainable baseline.
constexpr std::uint32_t min_class_samples = 4;

/// Accepted ratio of the mean latency to the baseline. It allows for noise and for a short queue on the member, which
/// keeps all its slots busy.
constexpr double tolerance = 1.5;

/// Least factor by which one window scales the limit, so that one bad window does not stop the requests to a member.
constexpr double min_gradient = 0.5;

/// Factor by which the baseline rises per window, so that a lasting slowdown of a member is accepted after about 20 s.
constexpr double baseline_drift = 1.01;

/// Upper bound of the limit as a multiple of the member's slots; more concurrent requests gain nothing.
constexpr double max_multiple = 4;

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t slots)
    : limit_(std::max<std::uint32_t>(slots, 1)), max_limit_(limit_ * max_multiple)
{
}

void concurrency_limit::record(const class_key& key, duration latency, bool limit_reached, instant now)
{
    if (samples_ == 0) {
        window_start_ = now;
    }
    class_window& window = classes_[key];
    window.sum_us += static_cast<double>(std::max<duration::rep>(latency.count(), 1));
    ++window.count;
    ++samples_;
    limit_reached_ = limit_reached_ || limit_reached;
    if (samples_ >= min_window_samples && now - window_start_ >= window_length) {
        close_window();
    }
}

void concurrency_limit::close_window()
{
    double ratios = 0;
    std::uint32_t counted = 0;
    for (auto& [key, window] : classes_) {
        if (window.count < min_class_samples) {
            window.sum_us = 0;
            window.count = 0;
            continue;
        }
        counted += window.count;
        const double mean = window.sum_us / window.count;
        window.baseline_us =
            window.baseline_us == 0 ? mean : std::min(window.baseline_us * baseline_drift, std::max(mean, 1.0));
        ratios += mean / window.baseline_us * window.count;
        window.sum_us = 0;
        window.count = 0;
    }
    const double ratio = counted == 0 ? 1.0 : ratios / counted;
    const double gradient = std::clamp(tolerance / ratio, min_gradient, 1.0);
    limit_ *= gradient;
    if (limit_reached_ && gradient == 1.0) {
        limit_ += 1;
    }
    limit_ = std::clamp(limit_, 1.0, max_limit_);
    samples_ = 0;
    limit_reached_ = false;
}

} // namespace citronfall
