#include "tenancy/key_directory.h"

namespace citronfall {
namespace {

/// Compares without an early return, so that the time does not tell where two keys of equal length differ.
bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    if (a.size() != b.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

} // namespace

void key_directory::assign(const std::map<std::string, tenant_policy>& tenants)
{
    keys_.clear();
    for (const auto& [name, policy] : tenants) {
        for (const std::string& key : policy->keys) {
            if (find(key) == nullptr) {
                keys_[hash_of(key)].push_back({.key = key, .tenant = name});
            }
        }
    }
}

const std::string* key_directory::find(std::string_view key) const
{
    const auto bucket = keys_.find(hash_of(key));
    if (bucket == keys_.end()) {
        return nullptr;
    }
    const std::string* tenant = nullptr;
    for (const held_key& each : bucket->second) {
        tenant = equal_in_constant_time(each.key, key) ? &each.tenant : tenant;
    }
    return tenant;
}

/// FNV-1a from the seed, with the bits mixed at the end.
std::uint64_t key_directory::hash_of(std::string_view key) const
{
    std::uint64_t hash = seed_ ^ 14695981039346656037ULL;
    for (const char c : key) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace citronfall
