#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Fields of a service's policy.
struct service_policy_fields {
    std::string name;
    std::uint32_t max_connections = 0; ///< Connections that one member accepts from all daemons together.
    std::uint32_t sync_replicas = 0;   ///< Replicas that must receive a commit before it is acknowledged.

    friend auto operator<=>(const service_policy_fields&, const service_policy_fields&) = default;
};

/// Operator settings of one replicated group of members.
using service_policy = immutable<service_policy_fields>;

} // namespace citronfall
