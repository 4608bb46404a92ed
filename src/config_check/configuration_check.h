#pragma once

#include "config_check/config_finding.h"
#include "config_check/configuration_document.h"
#include "config_check/configuration_summary.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace citronfall {

/// What a check assumes about the deployment, which a configuration does not say.
struct deployment_assumptions {
    std::size_t members_per_service = 3;
    double operations_per_connection_s = 1000; ///< Most operations that one connection can carry in a second.
};

/// Findings of a configuration, those that could not be read included, in the order of the file. Thread-safe.
[[nodiscard]] std::vector<config_finding> check_configuration(const configuration_document& document,
                                                              const deployment_assumptions& assumptions);

/// The finding that the document's version is not above that of `present`, which daemons would keep in force; nothing
/// if it is. Thread-safe.
[[nodiscard]] std::optional<config_finding> check_version(const configuration_document& document,
                                                          const configuration_summary& present);

} // namespace citronfall
