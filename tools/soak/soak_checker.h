#pragma once

#include "citronfall/instant.h"
#include "soak/run_conditions.h"
#include "soak/soak_history.h"
#include "standin/service_model.h"

#include <string>
#include <vector>

namespace citronfall::soak {

/// Checks the recorded history of callers against the statements that the members ran. Shares no decision code with the
/// daemon.
class soak_checker {
public:
    /// Returns the violations, one line each: the name of the rule, a colon and details. Rules: lost, doubled,
    /// kept_though_refused, not_asked_for, mixed, stale, torn, foreign_transaction, session_values, cut.
    /// `max_staleness` is the staleness bound of routes with bounded_staleness or read_your_writes.
    [[nodiscard]] static std::vector<std::string> check(const std::vector<recorded_operation>& history,
                                                        const standin::service_model& service, duration max_staleness,
                                                        const run_conditions& conditions = {});
};

} // namespace citronfall::soak
