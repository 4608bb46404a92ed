#pragma once

#include "citronfall/instant.h"
#include "soak/soak_history.h"
#include "standin/service_model.h"

#include <string>
#include <vector>

namespace citronfall::soak {

/// Checks what callers saw against what the members ran. Uses none of the product's decisions.
class soak_checker {
public:
    /// The broken rules, one line each: the rule's name, a colon and the particulars. Rules: lost, doubled,
    /// kept_though_refused, not_asked_for, mixed, stale, torn, foreign_transaction, session_values. `max_staleness` is
    /// the age that routes of bounded staleness and of own writes accept.
    [[nodiscard]] static std::vector<std::string> check(const std::vector<recorded_operation>& history,
                                                        const standin::service_model& service, duration max_staleness);
};

} // namespace citronfall::soak
