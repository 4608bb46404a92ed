#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace citronfall {

/// What a daemon knows of one member.
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

    friend auto operator<=>(const reported_member&, const reported_member&) = default;
};

/// What a daemon knows of one service.
struct reported_service {
    std::string name;
    std::string leader; ///< Empty: none is known.
    std::uint64_t term = 0;
    std::optional<duration> evidence_age; ///< Of the newest proof of the leader's log.
    std::optional<duration> leaderless_for;
    std::string failover_lock_holder; ///< Daemon that changes the primary; empty: none.
    bool reached = true;              ///< This daemon keeps connections to the members.
    std::size_t waiting = 0;          ///< Statements in the queue.

    friend auto operator<=>(const reported_service&, const reported_service&) = default;
};

/// Fields of a report.
struct gateway_report_fields {
    std::string daemon;
    bool ready = false;
    std::uint64_t configuration_version = 0; ///< 0: none is known.
    std::size_t routes = 0;
    std::size_t sessions = 0;
    std::size_t statements = 0; ///< In progress.
    std::size_t daemons = 0;    ///< Listed, this one included.
    std::size_t peers = 0;      ///< Connected.
    std::vector<reported_service> services;
    std::vector<reported_member> members;

    friend auto operator<=>(const gateway_report_fields&, const gateway_report_fields&) = default;
};

/// What a daemon tells operators about itself.
using gateway_report = immutable<gateway_report_fields>;

} // namespace citronfall
