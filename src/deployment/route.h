#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Which data the reads of a route must show.
enum class read_consistency {
    primary,           ///< Every commit acknowledged before the read.
    bounded_staleness, ///< Every commit acknowledged more than the route's bound before the read.
    read_your_writes,  ///< As bounded_staleness, and every commit of the same session.
};

/// Fields of a route.
struct route_fields {
    std::string name;
    std::string database; ///< Callers name it when they open a session.
    std::string service;  ///< Replicated group of members that serves it.
    read_consistency consistency = read_consistency::primary;
    duration statement_timeout{};
    duration target_latency{};  ///< Of one operation, from the caller's first attempt.
    duration max_staleness{};   ///< 0 on primary routes.
    std::uint32_t priority = 0; ///< 0 is the highest.

    friend auto operator<=>(const route_fields&, const route_fields&) = default;
};

/// How the statements of one database are served. A class of requests, in the terms of docs/glossary.md.
using route = immutable<route_fields>;

} // namespace citronfall
