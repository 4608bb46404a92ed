#pragma once

#include "deployment/tenant_policy.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace citronfall {

/// Finds the tenant that a caller's key belongs to.
///
/// The time of a look-up does not depend on how much of a wrong key is right: keys are found by a hash with a secret
/// seed and compared in constant time. Not thread-safe: owned by the decision thread.
class key_directory {
public:
    /// `seed` must not be known to callers.
    explicit key_directory(std::uint64_t seed) : seed_(seed) {}

    /// Replaces the keys by those of `tenants`. Where two tenants state the same key, the first by name has it.
    void assign(const std::map<std::string, tenant_policy>& tenants);

    /// Name of the tenant that holds the key, or null. Valid until the next assign().
    [[nodiscard]] const std::string* find(std::string_view key) const;

private:
    /// A key and the tenant that holds it.
    struct held_key {
        std::string key;
        std::string tenant;
    };

    [[nodiscard]] std::uint64_t hash_of(std::string_view key) const;

    std::uint64_t seed_;
    std::unordered_map<std::uint64_t, std::vector<held_key>> keys_; ///< By hash.
};

} // namespace citronfall
