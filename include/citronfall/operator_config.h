#pragma once

#include "citronfall/class_config.h"
#include "citronfall/group_config.h"
#include "citronfall/immutable.h"
#include "citronfall/limits_config.h"
#include "citronfall/maintenance_config.h"
#include "citronfall/member_key.h"
#include "citronfall/routing_config.h"
#include "citronfall/tenant_config.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

struct operator_config_fields {
    std::map<std::string, group_config> groups;
    std::map<std::string, tenant_config> tenants;
    std::map<std::string, std::map<std::string, class_config>> classes; ///< By tenant, then by class.
    routing_config routing;
    limits_config limits;
    std::set<member_key> leaving; ///< Members that are drained: they get no new work.
    maintenance_config maintenance;

    friend auto operator<=>(const operator_config_fields&, const operator_config_fields&) = default;
};

/// Decoded content of the operators' document, without its owners and history.
class operator_config : public immutable<operator_config_fields> {
public:
    using immutable::immutable;

    /// The group of that name, or null. The pointer is valid for the lifetime of this value. Thread-safe.
    [[nodiscard]] const group_config* group(const std::string& name) const;

    /// The tenant of that name, or null. The pointer is valid for the lifetime of this value. Thread-safe.
    [[nodiscard]] const tenant_config* tenant(const std::string& name) const;

    /// The tenant's class of that name, or null. The pointer is valid for the lifetime of this value. Thread-safe.
    [[nodiscard]] const class_config* find_class(const std::string& tenant, const std::string& name) const;
};

} // namespace citronfall
