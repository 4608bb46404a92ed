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

/// Quota of one tenant as a daemon sees it.
struct reported_quota {
    std::string tenant;
    double rate_per_s = 0;
    double burst = 0;
    std::vector<std::string> holders; ///< Daemons that grant the parts of the quota; empty names if none does.
    std::uint64_t admitted = 0;       ///< Operations since the daemon's start.
    std::uint64_t refused = 0;        ///< As admitted.
    std::size_t waiting = 0;          ///< Operations that wait for a holder.

    friend auto operator<=>(const reported_quota&, const reported_quota&) = default;
};

/// Part of a tenant's quota that a daemon holds.
struct reported_quota_part {
    std::string tenant;
    std::uint32_t part = 0;
    double level = 0; ///< Operations that could be granted now.
    std::uint64_t granted = 0;
    std::uint64_t declined = 0;

    friend auto operator<=>(const reported_quota_part&, const reported_quota_part&) = default;
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
    std::vector<reported_quota> quotas;           ///< Of tenants that have sent operations here.
    std::vector<reported_quota_part> quota_parts; ///< Held by this daemon and in use.

    friend auto operator<=>(const gateway_report_fields&, const gateway_report_fields&) = default;
};

/// State of a daemon, for operators.
using gateway_report = immutable<gateway_report_fields>;

} // namespace citronfall
