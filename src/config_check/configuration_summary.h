#pragma once

#include "citronfall/immutable.h"
#include "config_check/configuration_document.h"
#include "deployment/route.h"
#include "deployment/service_configuration.h"
#include "deployment/service_policy.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace citronfall {

struct tenant_summary_fields {
    std::string name;
    std::set<std::string> key_fingerprints;
    double rate_per_s = 0;
    double burst = 0;

    friend auto operator<=>(const tenant_summary_fields&, const tenant_summary_fields&) = default;
};

/// A tenant without its keys.
using tenant_summary = immutable<tenant_summary_fields>;

struct configuration_summary_fields {
    std::uint64_t version = 0;
    std::map<std::string, route> routes; ///< By database.
    std::map<std::string, service_policy> services;
    std::map<std::string, tenant_summary> tenants;
    duration idle_transaction_limit{};

    friend auto operator<=>(const configuration_summary_fields&, const configuration_summary_fields&) = default;
};

/// A configuration without the tenants' keys, which can be shown and compared.
using configuration_summary = immutable<configuration_summary_fields>;

/// Short digest of a key: equal for equal keys, and of no use to find the key. Thread-safe.
[[nodiscard]] std::string key_fingerprint(const std::string& key);

/// The configuration in force, without keys. Thread-safe.
[[nodiscard]] configuration_summary summarize(const service_configuration& configuration);

/// What a document would put in force; of entries with one name, the first. Thread-safe.
[[nodiscard]] configuration_summary summarize(const configuration_document& document);

} // namespace citronfall
