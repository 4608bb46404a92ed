#include "request/retry_budget.h"

namespace citronfall {

retry_budget::bucket& retry_budget::bucket_at(instant now)
{
    const std::int64_t second = second_of(now);
    bucket& present = buckets_[static_cast<std::size_t>(second) % bucket_count];
    if (present.second != second) {
        present = bucket{.second = second};
    }
    return present;
}

bool retry_budget::allows(std::uint32_t percent, instant now) const
{
    const std::int64_t oldest = second_of(now) - static_cast<std::int64_t>(bucket_count);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const bucket& each : buckets_) {
        if (each.second > oldest) {
            requests += each.requests;
            retries += each.retries;
        }
    }
    return retries < (requests * percent + 99) / 100;
}

} // namespace citronfall
