#include "quota/quota_parts.h"

#include <algorithm>
#include <string_view>

namespace citronfall {
namespace {

/// Fraction of a quota that the daemons use without asking, which serves a large tenant while a holder is replaced.
/// What is divided among the daemons is lost to a tenant whose callers are all at one of them.
constexpr double own_fraction = 0.15;

/// Operations in a window below which that fraction is not divided: most daemons would get less than one.
constexpr double min_divided = 80;

/// Fraction of a quota that is given to nobody, for what daemons differ on for a moment.
constexpr double reserved_fraction = 0.02;

/// Fraction of the slack by which each granted part may exceed its burst, which serves tenants of few operations.
constexpr double slack_per_part = 0.3;

/// Fraction of the slack with which each part begins at a new holder. Small, since a holder may restart repeatedly.
constexpr double first_slack_per_part = 0.05;

constexpr std::string_view lock_prefix = "quota/";

/// FNV-1a, with mixed bits; the same on all daemons.
std::uint64_t hash_of(std::string_view text)
{
    std::uint64_t hash = 14695981039346656037ULL;
    for (const char c : text) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace

quota_parts divide_quota(const quota_limit& limit, const quota_rule& rule, std::size_t daemons)
{
    const double window_s = std::chrono::duration<double>(rule->window).count();
    const double lifetime_s = std::chrono::duration<double>(quota_grant_lifetime).count();
    const double per_window = limit->rate_per_s * window_s + limit->burst;
    const double divided = own_fraction * per_window >= min_divided ? own_fraction : 0;
    // What is used in a window was granted in a time that is longer by the lifetime of grants.
    const double granted_per_window = limit->rate_per_s * (window_s + lifetime_s) + limit->burst;
    const double available = (1 + rule->overage - divided - reserved_fraction) * per_window;
    const double fraction = granted_per_window > 0 ? std::min(available / granted_per_window, 1.0) : 0;
    // A part below one operation could grant none.
    const double capacity = std::max(limit->burst * fraction / quota_part_count + rule->slack * slack_per_part, 1.0);
    const double own = daemons == 0 ? 0 : divided * per_window / static_cast<double>(daemons);
    const double own_capacity = own < 1 ? 0 : std::max(own * limit->burst / per_window, 1.0);
    return quota_parts{{.granted_rate_per_s = limit->rate_per_s * fraction / quota_part_count,
                        .granted_capacity = capacity,
                        .first_level = rule->slack * first_slack_per_part,
                        .own_rate_per_s = (own_capacity > 0 ? own - own_capacity : 0) / window_s,
                        .own_capacity = own_capacity}};
}

std::uint32_t quota_group(const std::string& tenant, std::uint32_t part)
{
    const std::uint64_t hash = hash_of(tenant);
    const auto first = static_cast<std::uint32_t>(hash % quota_group_count);
    const auto step = 1 + static_cast<std::uint32_t>((hash >> 32U) % (quota_group_count - 1));
    return (first + part * step) % quota_group_count;
}

std::string quota_lock(std::uint32_t group)
{
    return std::string(lock_prefix) + std::to_string(group);
}

std::set<std::string> quota_locks()
{
    std::set<std::string> locks;
    for (std::uint32_t group = 0; group < quota_group_count; ++group) {
        locks.insert(quota_lock(group));
    }
    return locks;
}

bool is_quota_lock(const std::string& name)
{
    return name.starts_with(lock_prefix);
}

} // namespace citronfall
