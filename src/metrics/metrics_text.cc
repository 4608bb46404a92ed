#include "metrics/metrics_text.h"

#include <sstream>

namespace citronfall {
namespace {

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

std::string metrics_text(const metrics_report& report)
{
    std::ostringstream text;
    for (const auto& [name, value] : report->counters) {
        text << name << ' ' << value << '\n';
    }
    for (const histogram_snapshot& each : report->histograms) {
        const std::string labels = "tenant=\"" + each->tenant + "\",class=\"" + each->class_name + "\"";
        text << each->name << "{" << labels << ",quantile=\"0.5\"} " << seconds(each->p50) << '\n'
             << each->name << "{" << labels << ",quantile=\"0.9\"} " << seconds(each->p90) << '\n'
             << each->name << "{" << labels << ",quantile=\"0.99\"} " << seconds(each->p99) << '\n'
             << each->name << "_max{" << labels << "} " << seconds(each->max) << '\n'
             << each->name << "_count{" << labels << "} " << each->count << '\n';
    }
    return text.str();
}

} // namespace citronfall
