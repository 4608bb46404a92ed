#pragma once

#include "citronfall/immutable.h"
#include "config_check/configuration_summary.h"

#include <string>
#include <vector>

namespace citronfall {

struct configuration_difference_fields {
    std::string subject; ///< What differs: "route", "service", "tenant" or "configuration", then its name.
    std::string field;   ///< Empty if the entry was added or removed.
    std::string before;  ///< Empty if it was added.
    std::string after;   ///< Empty if it was removed.

    friend auto operator<=>(const configuration_difference_fields&, const configuration_difference_fields&) = default;
};

/// One value of a configuration that differs from another version. Keys appear as fingerprints.
using configuration_difference = immutable<configuration_difference_fields>;

/// What differs between two versions, in the order of kinds and names. Thread-safe.
[[nodiscard]] std::vector<configuration_difference> differences(const configuration_summary& before,
                                                                const configuration_summary& after);

} // namespace citronfall
