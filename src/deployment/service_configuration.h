#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "deployment/route.h"
#include "deployment/service_policy.h"
#include "deployment/tenant_policy.h"

#include <cstdint>
#include <map>
#include <string>

namespace citronfall {

/// Fields of service_configuration.
struct service_configuration_fields {
    std::uint64_t version = 0;
    std::map<std::string, route> routes; ///< By database.
    std::map<std::string, service_policy> services;
    std::map<std::string, tenant_policy> tenants; ///< By name; empty: callers need no key.
    duration idle_transaction_limit{};            ///< Idle transactions may be ended after this time; 0: never.

    friend auto operator<=>(const service_configuration_fields&, const service_configuration_fields&) = default;
};

/// One complete version of the operators' configuration.
using service_configuration = immutable<service_configuration_fields>;

} // namespace citronfall
