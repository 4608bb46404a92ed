#pragma once

#include "admission/class_key.h"
#include "admission/refusal.h"
#include "citronfall/class_config.h"
#include "citronfall/instant.h"
#include "citronfall/tenant_config.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace citronfall {

/// Limits of tenants and classes within one daemon: requests per second and requests in progress.
///
/// Not thread-safe: owned by the decision thread.
class request_limits {
public:
    /// Counts a new request, or returns which limit it would exceed. A refused request uses up nothing.
    [[nodiscard]] std::optional<refusal> admit(const tenant_config& tenant, const class_config& config, instant now);

    /// An admitted request was answered.
    void ended(const class_key& key);

private:
    /// Token bucket that fills at the permitted rate and holds at most a tenth of a second's tokens for bursts.
    struct token_bucket {
        double tokens = 0;
        std::optional<instant> refilled_at;
    };

    [[nodiscard]] static std::optional<refusal> over_rate(token_bucket& state, std::uint32_t per_second,
                                                          const std::string& whose, instant now);

    std::map<std::string, token_bucket> tenant_buckets_;
    std::map<class_key, token_bucket> class_buckets_;
    std::map<std::string, std::uint32_t> tenant_in_flight_;
    std::map<class_key, std::uint32_t> class_in_flight_;
};

} // namespace citronfall
