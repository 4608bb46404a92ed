#pragma once

#include "citronfall/immutable.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace citronfall {

/// Whether a configuration must not be sent or only deserves a look.
enum class finding_severity : std::uint8_t { warning, error };

/// What is wrong with a part of a configuration.
enum class finding_kind : std::uint8_t {
    malformed,            ///< Not readable at all.
    invalid_field,        ///< A field is missing, of another type or has no valid value.
    duplicate_name,       ///< Two services or two tenants have one name.
    duplicate_database,   ///< Two routes have one database; only the first is used.
    unlisted_service,     ///< A route names a service that is not listed; its statements cannot run.
    unused_service,       ///< No route names the service.
    shared_key,           ///< Two tenants hold one key.
    tenant_without_keys,  ///< No caller can be the tenant.
    timeout_below_target, ///< Statements end before the target time of an operation.
    burst_below_one,      ///< The limit of a tenant admits no operation.
    quota_above_capacity, ///< The limit of a tenant is above what all members can do, so it never binds.
    tenants_above_limit,  ///< More tenants than connections that a member accepts.
    version_not_higher,   ///< The version is not above the one compared with, so it would not be put in force.
};

/// Name of a kind for tables and scripts. Thread-safe.
[[nodiscard]] constexpr const char* finding_kind_name(finding_kind kind)
{
    switch (kind) {
    case finding_kind::malformed:
        return "malformed";
    case finding_kind::invalid_field:
        return "invalid_field";
    case finding_kind::duplicate_name:
        return "duplicate_name";
    case finding_kind::duplicate_database:
        return "duplicate_database";
    case finding_kind::unlisted_service:
        return "unlisted_service";
    case finding_kind::unused_service:
        return "unused_service";
    case finding_kind::shared_key:
        return "shared_key";
    case finding_kind::tenant_without_keys:
        return "tenant_without_keys";
    case finding_kind::timeout_below_target:
        return "timeout_below_target";
    case finding_kind::burst_below_one:
        return "burst_below_one";
    case finding_kind::quota_above_capacity:
        return "quota_above_capacity";
    case finding_kind::tenants_above_limit:
        return "tenants_above_limit";
    case finding_kind::version_not_higher:
        break;
    }
    return "version_not_higher";
}

/// Where something stands in a configuration file.
struct document_place {
    std::string key;      ///< Path of keys and indexes, as the operators write them.
    std::size_t line = 0; ///< Counted from 1; 0: unknown.

    friend auto operator<=>(const document_place&, const document_place&) = default;
};

struct config_finding_fields {
    finding_severity severity = finding_severity::warning;
    finding_kind kind = finding_kind::malformed;
    document_place place;
    std::string detail; ///< Never has a tenant's key.

    friend auto operator<=>(const config_finding_fields&, const config_finding_fields&) = default;
};

/// Something in a configuration that an operator should mend or look at before it is sent.
using config_finding = immutable<config_finding_fields>;

} // namespace citronfall
