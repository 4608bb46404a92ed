#include "admission/arrival_rate_forecast.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Longer than it takes to open a connection in the known deployments (10 and 30 ms), so that connections opened for
/// the next window are ready in time.
constexpr duration window_length = std::chrono::milliseconds(50);

} // namespace

void arrival_rate_forecast::arrived(instant now)
{
    advance(now);
    ++current_count_;
}

double arrival_rate_forecast::expected_rate(instant now)
{
    advance(now);
    const double rise = last_count_ > previous_count_ ? last_count_ - previous_count_ : 0;
    return (last_count_ + rise) / std::chrono::duration<double>(window_length).count();
}

void arrival_rate_forecast::advance(instant now)
{
    const auto windows = (now - window_start_) / window_length;
    if (windows <= 0) {
        return;
    }
    previous_count_ = windows == 1 ? last_count_ : windows == 2 ? current_count_ : 0;
    last_count_ = windows == 1 ? current_count_ : 0;
    current_count_ = 0;
    window_start_ += windows * window_length;
}

} // namespace citronfall
