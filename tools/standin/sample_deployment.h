#pragma once

#include "deployment/service_configuration.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace citronfall::standin {

/// Staleness bound of the routes of a sample deployment.
constexpr duration sample_staleness = std::chrono::milliseconds(1500);

/// A configuration with one service and one route of each read consistency: the databases "fresh" (primary), "aged"
/// (bounded staleness) and "own" (read your writes). The databases in `more_databases` are like "own". Thread-safe.
[[nodiscard]] service_configuration sample_deployment(std::uint64_t version, std::uint32_t max_connections,
                                                      const std::vector<std::string>& more_databases = {},
                                                      duration statement_timeout = std::chrono::milliseconds(800),
                                                      std::uint32_t sync_replicas = 0);

} // namespace citronfall::standin
