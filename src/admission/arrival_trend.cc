#include "admission/arrival_trend.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Longer than it takes to open a connection at either user (10 and 30 ms), so that connections opened for the next
/// window are ready in time.
constexpr duration window_length = std::chrono::milliseconds(50);

} // namespace

void arrival_trend::arrived(instant now)
{
    advance(now);
    ++present_;
}

double arrival_trend::expected_rate(instant now)
{
    advance(now);
    const double rise = last_ > before_ ? last_ - before_ : 0;
    return (last_ + rise) / std::chrono::duration<double>(window_length).count();
}

void arrival_trend::advance(instant now)
{
    const auto windows = (now - window_start_) / window_length;
    if (windows <= 0) {
        return;
    }
    before_ = windows == 1 ? last_ : windows == 2 ? present_ : 0;
    last_ = windows == 1 ? present_ : 0;
    present_ = 0;
    window_start_ += windows * window_length;
}

} // namespace citronfall
