#pragma once

#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "citronfall/metrics_report.h"
#include "metrics/latency_histogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace citronfall {

/// Counters and latency histograms of one thread, created at first use.
///
/// Not thread-safe: owned by one thread. Other threads send it their counts in messages.
class metrics_registry {
public:
    /// Adds `amount` to a counter. Names have the form `subject_event_total` with optional labels `{label="value"}`.
    void count(std::string_view counter, std::uint64_t amount = 1);

    /// Records a duration under the labels of a tenant and of one of its classes.
    void record(const std::string& name, const std::string& tenant, const std::string& class_name, duration value);

    /// Current value of a counter; 0 if it does not exist.
    [[nodiscard]] std::uint64_t counter(std::string_view name) const;

    /// Snapshot of all counters and histograms.
    [[nodiscard]] metrics_report report(request_handle handle) const;

private:
    using histogram_key = std::tuple<std::string, std::string, std::string>;

    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<histogram_key, latency_histogram> histograms_;
};

} // namespace citronfall
