#pragma once

#include "citronfall/instant.h"

#include <array>
#include <cstdint>

namespace citronfall {

/// Limits retries to a percentage of the requests of the last 10 s, so that retries do not overload a group that is
/// already failing.
///
/// Not thread-safe: owned by the decision thread.
class retry_budget {
public:
    void count_request(instant now) { ++bucket_at(now).requests; }

    void count_retry(instant now) { ++bucket_at(now).retries; }

    /// Whether one more retry stays within `percent` of the recent requests. The limit is rounded up, so that a daemon
    /// with little traffic can still retry.
    [[nodiscard]] bool allows(std::uint32_t percent, instant now) const;

private:
    static constexpr std::size_t bucket_count = 10;

    struct bucket {
        std::int64_t second = -1;
        std::uint64_t requests = 0;
        std::uint64_t retries = 0;
    };

    static std::int64_t second_of(instant now)
    {
        return std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    }

    bucket& bucket_at(instant now);

    std::array<bucket, bucket_count> buckets_{};
};

} // namespace citronfall
