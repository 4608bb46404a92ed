#pragma once

#include "support/virtual_deployment.h"

#include <functional>
#include <string>
#include <vector>

namespace citronfall::testing {

/// A fault that can be injected into a deployment.
struct fault {
    std::string name;
    std::function<void(virtual_deployment&)> begin;
    std::function<void(virtual_deployment&)> end; ///< Repairs the fault.

    /// All faults, in a fixed order.
    [[nodiscard]] static const std::vector<fault>& all();
};

} // namespace citronfall::testing
