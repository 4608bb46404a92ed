#pragma once

#include "citronfall/histogram_snapshot.h"
#include "citronfall/ids.h"
#include "citronfall/immutable.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronfall {

struct metrics_report_fields {
    request_handle handle = 0;
    std::map<std::string, std::uint64_t> counters;
    std::vector<histogram_snapshot> histograms;

    friend auto operator<=>(const metrics_report_fields&, const metrics_report_fields&) = default;
};

/// Snapshot of all counters and histograms of a daemon.
class metrics_report : public immutable<metrics_report_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
