#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Fields of a tenant's declaration.
struct tenant_config_fields {
    std::string name;
    std::uint32_t weight = 1;              ///< Share of capacity relative to the other tenants.
    std::uint32_t requests_per_second = 0; ///< Limit in one daemon; 0 means none.
    std::uint32_t in_flight = 1024;        ///< Greatest number of requests in progress in one daemon.

    friend auto operator<=>(const tenant_config_fields&, const tenant_config_fields&) = default;
};

/// A tenant as the document declares it.
class tenant_config : public immutable<tenant_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
