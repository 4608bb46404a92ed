#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronfall {

/// State of one member as a daemon sees it.
struct reported_member {
    std::string id;
    std::string service;
    std::string address;
    std::string reachability;
    bool leads = false;
    bool draining = false;
    bool listed = true;
    std::size_t connections = 0;
    std::size_t idle = 0;
    std::size_t running = 0;
    std::optional<double> allowance{}; ///< Statements that may be in flight during a ramp; empty without one.

    friend auto operator<=>(const reported_member&, const reported_member&) = default;
};

/// State of one service as a daemon sees it.
struct reported_service {
    std::string name;
    std::string leader; ///< Empty if none is known.
    std::uint64_t term = 0;
    std::optional<duration> evidence_age; ///< Age of the newest log position confirmed by the leader.
    std::optional<duration> leaderless_for;
    std::string failover_lock_holder; ///< Daemon that may change the primary; empty if none.
    bool direct = true;               ///< Whether this daemon connects to the members itself.
    std::size_t waiting = 0;          ///< Queued statements.

    friend auto operator<=>(const reported_service&, const reported_service&) = default;
};

/// Fields of a gateway report.
struct gateway_report_fields {
    std::string daemon;
    bool ready = false;
    std::uint64_t configuration_version = 0; ///< 0 if none is known.
    std::size_t routes = 0;
    std::size_t sessions = 0;
    std::size_t statements = 0; ///< Statements in progress.
    std::size_t daemons = 0;    ///< Registered daemons, including this one.
    std::size_t peers = 0;      ///< Connected peers.
    std::vector<reported_service> services;
    std::vector<reported_member> members;

    friend auto operator<=>(const gateway_report_fields&, const gateway_report_fields&) = default;
};

/// State of a daemon, for operators.
using gateway_report = immutable<gateway_report_fields>;

} // namespace citronfall
