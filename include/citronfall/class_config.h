#pragma once

#include "citronfall/evidence_kind.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace citronfall {

/// Expected execution time of the requests of a class.
enum class cost_class { short_request, long_request };

struct class_config_fields {
    std::string tenant;
    std::string name;
    cost_class cost = cost_class::short_request;
    std::uint32_t weight = 1;                         ///< Share of capacity relative to the tenant's other classes.
    duration deadline = std::chrono::seconds(2);      ///< Default for requests without one.
    evidence_kind evidence = evidence_kind::majority; ///< Evidence required to confirm a write: majority or primary.
    std::optional<duration> max_staleness;            ///< Staleness bound of reads; absent: they must be current.
    std::uint32_t requests_per_second = 0;            ///< Limit per daemon; 0: unlimited.
    std::uint32_t in_flight = 256;                    ///< Maximum number of concurrent requests per daemon.

    friend auto operator<=>(const class_config_fields&, const class_config_fields&) = default;
};

/// Class of requests, as declared in the document.
class class_config : public immutable<class_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
