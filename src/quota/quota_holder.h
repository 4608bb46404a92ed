#pragma once

#include "citronfall/instant.h"
#include "citronfall/quota_grant.h"
#include "citronfall/quota_request.h"
#include "quota/quota_limit.h"
#include "quota/quota_parts.h"
#include "quota/quota_rule.h"
#include "quota/token_bucket.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace citronfall {

/// Settings and hooks of a quota holder. The hooks are called on the decision thread.
struct quota_holder_options {
    quota_rule rule;
    std::function<void(const std::string&, const std::string&)> log; ///< Event name, fields.
};

/// A tenant's part as its holder sees it.
struct held_quota {
    std::string tenant;
    std::uint32_t part = 0;
    double rate_per_s = 0;
    double level = 0;                 ///< Operations that could be granted now.
    std::uint64_t granted_total = 0;  ///< Since this daemon holds the part.
    std::uint64_t declined_total = 0; ///< Operations that waited and got no grant.

    friend auto operator<=>(const held_quota&, const held_quota&) = default;
};

/// Grants operations from the parts of quotas whose locks this daemon holds.
///
/// A part begins nearly empty whenever its lock is acquired, because nobody knows what the holder before has granted.
/// The limits are those of the newest configuration that this daemon or a requesting one has. Not thread-safe: owned by
/// the decision thread.
class quota_holder {
public:
    explicit quota_holder(quota_holder_options options) : options_(std::move(options)) {}

    /// Sets the configuration in force: its version, and the limits by tenant.
    void configure(std::uint64_t version, const std::map<std::string, quota_limit>& limits, instant now);

    /// Sets which groups this daemon holds, each with a number that changes whenever its lock is acquired. Call it
    /// before each request, because a lease may have ended.
    void hold(const std::map<std::uint32_t, std::uint64_t>& groups, instant now);

    /// Grants what the parts have. Demands for parts that this daemon does not hold are answered as such.
    [[nodiscard]] quota_grant answer(const quota_request& request, instant now);

    /// The parts that are in use here, by tenant.
    [[nodiscard]] std::vector<held_quota> held(instant now) const;

private:
    /// A tenant's part.
    struct part_state {
        std::uint64_t version = 0; ///< Of the configuration that `limit` is from.
        quota_limit limit;
        token_bucket bucket;
        instant backlog_until{}; ///< When all declined operations could have been granted, one after the other.
        std::uint64_t granted_total = 0;
        std::uint64_t declined_total = 0;
    };
    using part_key = std::pair<std::string, std::uint32_t>; ///< Tenant, part.

    [[nodiscard]] quota_allowance answer(const quota_demand& demand, std::uint64_t version, instant now);
    [[nodiscard]] part_state* find(const quota_demand& demand, std::uint64_t version, instant now);
    void begin_parts(instant now);
    part_state& begin_part(const part_key& key, const quota_limit& limit, std::uint64_t version, instant now);
    void set_limit(part_state& state, const quota_limit& limit, std::uint64_t version, instant now) const;
    [[nodiscard]] static duration decline(part_state& state, std::uint32_t operations, instant now);

    quota_holder_options options_;
    std::uint64_t version_ = 0;
    std::map<std::string, quota_limit> limits_;
    std::map<std::uint32_t, std::uint64_t> groups_;
    std::map<part_key, part_state> parts_;
};

} // namespace citronfall
