#pragma once

#include "citronfall/instant.h"
#include "deployment/route.h"
#include "dispatch/statement_phase.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronfall {

/// Number and total time of statement phases, by the consistency of the route.
///
/// Not thread-safe: owned by the decision thread.
class statement_phase_totals {
public:
    /// Adds one phase of one statement.
    void add(read_consistency consistency, statement_phase phase, duration took);

    /// One line of log fields for each consistency that has any: the number of each phase and its mean in microseconds.
    [[nodiscard]] std::vector<std::string> describe() const;

private:
    struct total {
        std::uint64_t count = 0;
        duration sum{};
    };

    std::map<read_consistency, std::map<statement_phase, total>> totals_;
};

} // namespace citronfall
