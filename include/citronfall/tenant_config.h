#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

struct tenant_config_fields {
    std::string name;
    std::uint32_t weight = 1;              ///< Share of capacity relative to the other tenants.
    std::uint32_t requests_per_second = 0; ///< Limit per daemon; 0: unlimited.
    std::uint32_t in_flight = 1024;        ///< Maximum number of concurrent requests per daemon.

    friend auto operator<=>(const tenant_config_fields&, const tenant_config_fields&) = default;
};

/// Tenant, as declared in the document.
class tenant_config : public immutable<tenant_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
