#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <string>

namespace citronfall {

struct histogram_snapshot_fields {
    std::string name;
    std::string tenant;
    std::string class_name;
    std::uint64_t count = 0;
    duration p50{};
    duration p90{};
    duration p99{};
    duration max{};

    friend auto operator<=>(const histogram_snapshot_fields&, const histogram_snapshot_fields&) = default;
};

/// Quantiles of the durations recorded for one class of one tenant.
class histogram_snapshot : public immutable<histogram_snapshot_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
