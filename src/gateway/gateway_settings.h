#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

/// Fields of a gateway's settings.
struct gateway_settings_fields {
    std::string name; ///< Unique among the daemons.
    std::string region;
    std::string data_center;
    std::string callers;            ///< "ip:port" for callers.
    std::string probe;              ///< "ip:port" of the readiness probe.
    std::string probe_path;         ///< Path that the balancer asks for.
    std::string metrics;            ///< "ip:port" of the metrics; empty: they are served beside the probe.
    std::string peer_listen;        ///< "ip:port" for other daemons; empty: none.
    std::vector<std::string> peers; ///< "ip:port" of daemons to start from.
    std::string store;              ///< "ip:port" of the platform's store.
    std::string promotion_address;  ///< "ip:port" that takes promotions; empty: none.
    bool fences_enforced = true;    ///< The platform refuses fences that are lower than one it has seen.
    duration drain_bound = std::chrono::seconds(7); ///< After it a draining member may get no new work.
    duration grace = std::chrono::seconds(6);       ///< From the signal to end until the process is killed.
    duration apply_bound = std::chrono::seconds(3); ///< Within it a configuration has to be in force.
    std::uint32_t max_descriptors = 1024;

    friend auto operator<=>(const gateway_settings_fields&, const gateway_settings_fields&) = default;
};

/// What a daemon on the users' platform is told by its settings file.
using gateway_settings = immutable<gateway_settings_fields>;

} // namespace citronfall
