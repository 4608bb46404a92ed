#include "quota/token_bucket.h"

#include <algorithm>

namespace citronfall {
namespace {

constexpr std::int64_t units_per_token = 1'000'000'000;
constexpr double max_rate_per_s = 1e6;
constexpr double max_capacity = 4e9; // Below the range of the level.

} // namespace

void token_bucket::configure(double rate_per_s, double capacity, instant now)
{
    const std::int64_t level = level_at(now);
    constexpr double rate_units = 1000;
    rate_ = static_cast<std::int64_t>(std::clamp(rate_per_s, 0.0, max_rate_per_s) * rate_units);
    capacity_ = static_cast<std::int64_t>(std::clamp(capacity, 0.0, max_capacity) * units_per_token);
    level_ = std::min(level, capacity_);
    updated_at_ = now;
}

void token_bucket::restart(double level, instant now)
{
    level_ = std::min(static_cast<std::int64_t>(std::clamp(level, 0.0, max_capacity) * units_per_token), capacity_);
    updated_at_ = now;
}

std::uint32_t token_bucket::take(std::uint32_t wanted, instant now)
{
    level_ = level_at(now);
    updated_at_ = std::max(updated_at_, now);
    const std::int64_t taken = std::min<std::int64_t>(wanted, level_ / units_per_token);
    level_ -= taken * units_per_token;
    return static_cast<std::uint32_t>(taken);
}

duration token_bucket::time_to_next(instant now) const
{
    const std::int64_t missing = units_per_token - level_at(now);
    if (missing <= 0) {
        return duration{};
    }
    if (rate_ == 0 || capacity_ < units_per_token) {
        return duration::max();
    }
    return duration((missing + rate_ - 1) / rate_);
}

double token_bucket::level(instant now) const
{
    return static_cast<double>(level_at(now)) / units_per_token;
}

double token_bucket::capacity() const
{
    return static_cast<double>(capacity_) / units_per_token;
}

std::int64_t token_bucket::level_at(instant now) const
{
    if (rate_ == 0 || now <= updated_at_) {
        return level_;
    }
    const std::int64_t missing = capacity_ - level_;
    const std::int64_t time_to_full = missing / rate_ + 1; // Microseconds.
    return (now - updated_at_).count() >= time_to_full ? capacity_ : level_ + (now - updated_at_).count() * rate_;
}

} // namespace citronfall
