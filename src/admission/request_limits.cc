#include "admission/request_limits.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Capacity of a token bucket, in seconds of the permitted rate: the burst that an idle tenant or class may send.
constexpr double burst_seconds = 0.1;

/// Retry delay when the limit on requests in progress is reached. It cannot be predicted when one of them ends.
constexpr duration in_flight_retry_delay = std::chrono::milliseconds(50);

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

refusal in_flight_refusal(const std::string& whose)
{
    return refusal{{.kind = error_kind::limit_reached,
                    .detail = "requests in progress of " + whose + " are at their limit",
                    .retry_after = in_flight_retry_delay}};
}

} // namespace

std::optional<refusal> request_limits::admit(const tenant_config& tenant, const class_config& config, instant now)
{
    const class_key key{{.tenant = config->tenant, .class_name = config->name}};
    const std::string class_text = "class " + config->tenant + "/" + config->name;
    if (tenant_in_flight_[tenant->name] >= tenant->in_flight) {
        return in_flight_refusal("tenant " + tenant->name);
    }
    if (class_in_flight_[key] >= config->in_flight) {
        return in_flight_refusal(class_text);
    }
    token_bucket& tenant_bucket = tenant_buckets_[tenant->name];
    token_bucket& class_bucket = class_buckets_[key];
    if (auto over = over_rate(tenant_bucket, tenant->requests_per_second, "tenant " + tenant->name, now)) {
        return over;
    }
    if (auto over = over_rate(class_bucket, config->requests_per_second, class_text, now)) {
        return over;
    }
    tenant_bucket.tokens -= 1;
    class_bucket.tokens -= 1;
    ++tenant_in_flight_[tenant->name];
    ++class_in_flight_[key];
    return std::nullopt;
}

void request_limits::ended(const class_key& key)
{
    --tenant_in_flight_[key->tenant];
    --class_in_flight_[key];
}

std::optional<refusal> request_limits::over_rate(token_bucket& state, std::uint32_t per_second,
                                                 const std::string& whose, instant now)
{
    if (per_second == 0) {
        return std::nullopt;
    }
    const double burst_capacity = std::max(1.0, per_second * burst_seconds);
    state.tokens = state.refilled_at
                       ? std::min(burst_capacity, state.tokens + seconds(now - *state.refilled_at) * per_second)
                       : burst_capacity;
    state.refilled_at = now;
    if (state.tokens >= 1) {
        return std::nullopt;
    }
    return refusal{{.kind = error_kind::limit_reached,
                    .detail = whose + " exceeds " + std::to_string(per_second) + " requests/s",
                    .retry_after = duration(static_cast<duration::rep>((1 - state.tokens) / per_second * 1e6) + 1)}};
}

} // namespace citronfall
