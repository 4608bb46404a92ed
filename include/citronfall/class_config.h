#pragma once

#include "citronfall/evidence_kind.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace citronfall {

/// Expected running time of the requests of a class.
enum class cost_class { short_request, long_request };

/// Fields of a class's declaration.
struct class_config_fields {
    std::string tenant;
    std::string name;
    cost_class cost = cost_class::short_request;
    std::uint32_t weight = 1;                         ///< Share of capacity relative to the tenant's other classes.
    duration deadline = std::chrono::seconds(2);      ///< Of requests that state none.
    evidence_kind evidence = evidence_kind::majority; ///< What a confirmation needs: majority or primary.
    std::optional<duration> max_staleness;            ///< Age that reads of the class accept; absent means none.
    std::uint32_t requests_per_second = 0;            ///< Limit in one daemon; 0 means none.
    std::uint32_t in_flight = 256;                    ///< Greatest number of requests in progress in one daemon.

    friend auto operator<=>(const class_config_fields&, const class_config_fields&) = default;
};

/// A class of requests as the document declares it.
class class_config : public immutable<class_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
