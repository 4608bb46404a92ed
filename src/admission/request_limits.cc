#include "admission/request_limits.h"

#include <algorithm>

namespace citronfall {
namespace {

/// Capacity of a token bucket, in seconds of the permitted rate: the burst that an idle tenant or class may send.
constexpr double burst_seconds = 0.1;

/// Retry delay after the limit on requests in progress was hit. There is no better estimate than a short wait.
constexpr duration in_flight_retry = std::chrono::milliseconds(50);

double seconds(duration length)
{
    return std::chrono::duration<double>(length).count();
}

refusal busy(const std::string& whose)
{
    return refusal{{.kind = error_kind::limit_reached,
                    .detail = "requests in progress of " + whose + " are at their limit",
                    .retry_after = in_flight_retry}};
}

} // namespace

std::optional<refusal> request_limits::admit(const tenant_config& tenant, const class_config& rules, instant now)
{
    const class_key key{{.tenant = rules->tenant, .class_name = rules->name}};
    const std::string class_text = "class " + rules->tenant + "/" + rules->name;
    if (tenant_in_flight_[tenant->name] >= tenant->in_flight) {
        return busy("tenant " + tenant->name);
    }
    if (class_in_flight_[key] >= rules->in_flight) {
        return busy(class_text);
    }
    rate_state& tenant_rate = tenant_rates_[tenant->name];
    rate_state& class_rate = class_rates_[key];
    if (auto over = over_rate(tenant_rate, tenant->requests_per_second, "tenant " + tenant->name, now)) {
        return over;
    }
    if (auto over = over_rate(class_rate, rules->requests_per_second, class_text, now)) {
        return over;
    }
    tenant_rate.tokens -= 1;
    class_rate.tokens -= 1;
    ++tenant_in_flight_[tenant->name];
    ++class_in_flight_[key];
    return std::nullopt;
}

void request_limits::ended(const class_key& key)
{
    --tenant_in_flight_[key->tenant];
    --class_in_flight_[key];
}

std::optional<refusal> request_limits::over_rate(rate_state& state, std::uint32_t per_second, const std::string& whose,
                                                 instant now)
{
    if (per_second == 0) {
        return std::nullopt;
    }
    const double most = std::max(1.0, per_second * burst_seconds);
    state.tokens = state.filled ? std::min(most, state.tokens + seconds(now - *state.filled) * per_second) : most;
    state.filled = now;
    if (state.tokens >= 1) {
        return std::nullopt;
    }
    return refusal{{.kind = error_kind::limit_reached,
                    .detail = whose + " exceeds " + std::to_string(per_second) + " requests/s",
                    .retry_after = duration(static_cast<duration::rep>((1 - state.tokens) / per_second * 1e6) + 1)}};
}

} // namespace citronfall
