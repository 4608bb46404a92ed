#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Consistency that the reads of a route guarantee.
enum class read_consistency {
    primary,           ///< Reads show every commit acknowledged before the read.
    bounded_staleness, ///< Reads show every commit that was acknowledged longer ago than the route's bound.
    read_your_writes,  ///< As bounded_staleness, plus all commits of the same session.
};

/// Fields of a route.
struct route_fields {
    std::string name;
    std::string database; ///< Name that callers give when they open a session.
    std::string service;  ///< The replicated group of members that serves the database.
    read_consistency consistency = read_consistency::primary;
    duration statement_timeout{};
    duration target_latency{};  ///< Target time of an operation, from the caller's first attempt.
    duration max_staleness{};   ///< Bound of bounded_staleness and read_your_writes; 0 for primary.
    std::uint32_t priority = 0; ///< 0 is the highest.
    bool open = false;          ///< Serves callers without a known key as well.

    friend auto operator<=>(const route_fields&, const route_fields&) = default;
};

/// How the statements of one database are served. The glossary (docs/glossary.md) calls it a class of requests.
using route = immutable<route_fields>;

} // namespace citronfall
