#include "metrics/metrics_registry.h"

namespace citronfall {

void metrics_registry::count(std::string_view counter, std::uint64_t amount)
{
    const auto found = counters_.find(counter);
    if (found != counters_.end()) {
        found->second += amount;
    } else {
        counters_.emplace(counter, amount);
    }
}

void metrics_registry::record(const std::string& name, const std::string& tenant, const std::string& class_name,
                              duration value)
{
    histograms_[{name, tenant, class_name}].record(value);
}

std::uint64_t metrics_registry::counter(std::string_view name) const
{
    const auto found = counters_.find(name);
    return found == counters_.end() ? 0 : found->second;
}

metrics_report metrics_registry::report(request_handle handle) const
{
    metrics_report_fields fields{.handle = handle, .counters = {counters_.begin(), counters_.end()}, .histograms = {}};
    for (const auto& [key, histogram] : histograms_) {
        const auto& [name, tenant, class_name] = key;
        fields.histograms.push_back(histogram_snapshot{{.name = name,
                                                        .tenant = tenant,
                                                        .class_name = class_name,
                                                        .count = histogram.count(),
                                                        .p50 = histogram.quantile(0.5),
                                                        .p90 = histogram.quantile(0.9),
                                                        .p99 = histogram.quantile(0.99),
                                                        .max = histogram.max()}});
    }
    return metrics_report{std::move(fields)};
}

} // namespace citronfall
