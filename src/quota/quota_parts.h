#pragma once

#include "quota/quota_limit.h"
#include "quota/quota_rule.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

namespace citronfall {

/// Parts of each tenant's quota that are granted by daemons of their own, so that the loss of one leaves the other.
inline constexpr std::uint32_t quota_part_count = 2;

/// Groups of parts; each has one holder, whose lock in the store bears the group's name. All daemons must agree on the
/// number, so it is fixed.
inline constexpr std::uint32_t quota_group_count = 8;

/// Time from a request until what it was granted lapses.
inline constexpr duration quota_grant_lifetime = std::chrono::milliseconds(500);

struct quota_parts_fields {
    double granted_rate_per_s = 0; ///< Rate of each part that a holder grants.
    double granted_capacity = 0;   ///< Capacity of each of these parts.
    double first_level = 0;        ///< Level of a part whose holder is new.
    double own_rate_per_s = 0;     ///< Rate of the part that each daemon uses without asking.
    double own_capacity = 0;       ///< Capacity of that part: none, or one operation at least.

    friend auto operator<=>(const quota_parts_fields&, const quota_parts_fields&) = default;
};

/// How a tenant's quota is divided between the holders and all daemons.
using quota_parts = immutable<quota_parts_fields>;

/// Divides a quota so that all parts together keep to the rule. `daemons` is the number of daemons that have a part of
/// their own; 0 if it is not known: then none has one. Thread-safe.
[[nodiscard]] quota_parts divide_quota(const quota_limit& limit, const quota_rule& rule, std::size_t daemons);

/// Group of a tenant's part. The parts of a tenant are in different groups. Thread-safe.
[[nodiscard]] std::uint32_t quota_group(const std::string& tenant, std::uint32_t part);

/// Name of the lock that the holder of a group has. Thread-safe.
[[nodiscard]] std::string quota_lock(std::uint32_t group);

/// The names of all these locks. Thread-safe.
[[nodiscard]] std::set<std::string> quota_locks();

/// Whether a lock is that of a group of quotas. Thread-safe.
[[nodiscard]] bool is_quota_lock(const std::string& name);

} // namespace citronfall
