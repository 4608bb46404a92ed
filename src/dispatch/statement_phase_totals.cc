#include "dispatch/statement_phase_totals.h"

namespace citronfall {

void statement_phase_totals::add(read_consistency consistency, statement_phase phase, duration took)
{
    total& sum = totals_[consistency][phase];
    ++sum.count;
    sum.sum += took;
}

std::vector<std::string> statement_phase_totals::describe() const
{
    std::vector<std::string> lines;
    for (const auto& [consistency, phases] : totals_) {
        std::string line = std::string("reads=") + read_consistency_name(consistency);
        for (const auto& [phase, sum] : phases) {
            const auto mean_us = sum.sum.count() / static_cast<std::int64_t>(sum.count);
            const std::string name = statement_phase_name(phase);
            line += " " + name + "=" + std::to_string(sum.count) + " " + name + "_us=" + std::to_string(mean_us);
        }
        lines.push_back(std::move(line));
    }
    return lines;
}

} // namespace citronfall
