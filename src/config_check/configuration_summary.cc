#include "config_check/configuration_summary.h"

#include <utility>

#include <boost/uuid/detail/sha1.hpp>

namespace citronfall {
namespace {

/// Digits of a fingerprint: few enough that many other keys have the same one.
constexpr std::size_t fingerprint_digits = 8;

tenant_summary without_keys(const tenant_policy& tenant)
{
    tenant_summary_fields fields{.name = tenant->name, .rate_per_s = tenant->rate_per_s, .burst = tenant->burst};
    for (const std::string& each : tenant->keys) {
        fields.key_fingerprints.insert(key_fingerprint(each));
    }
    return tenant_summary{std::move(fields)};
}

} // namespace

std::string key_fingerprint(const std::string& key)
{
    boost::uuids::detail::sha1 hash;
    hash.process_bytes(key.data(), key.size());
    unsigned int digest[5] = {};
    hash.get_digest(digest);
    std::string text;
    for (std::size_t i = 0; i < fingerprint_digits; ++i) {
        text.push_back("0123456789abcdef"[(digest[0] >> (28 - 4 * i)) & 0xFU]);
    }
    return text;
}

configuration_summary summarize(const service_configuration& configuration)
{
    configuration_summary_fields fields{.version = configuration->version,
                                        .routes = configuration->routes,
                                        .services = configuration->services,
                                        .idle_transaction_limit = configuration->idle_transaction_limit};
    for (const auto& [name, each] : configuration->tenants) {
        fields.tenants.emplace(name, without_keys(each));
    }
    return configuration_summary{std::move(fields)};
}

configuration_summary summarize(const configuration_document& document)
{
    configuration_summary_fields fields{.version = document->version,
                                        .idle_transaction_limit = document->idle_transaction_limit};
    for (const auto& each : document->routes) {
        fields.routes.emplace(each->value->database, each->value);
    }
    for (const auto& each : document->services) {
        fields.services.emplace(each->value->name, each->value);
    }
    for (const auto& each : document->tenants) {
        fields.tenants.emplace(each->value->name, without_keys(each->value));
    }
    return configuration_summary{std::move(fields)};
}

} // namespace citronfall
