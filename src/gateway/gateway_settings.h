#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "registration/daemon_capacity.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace citronfall {

/// Fields of the settings of a gateway.
struct gateway_settings_fields {
    std::string name; ///< Unique among the daemons.
    std::string region;
    std::string data_center;
    std::string callers;            ///< "ip:port" at which callers connect.
    std::string probe;              ///< "ip:port" of the readiness probe.
    std::string probe_path;         ///< HTTP path of the readiness probe.
    std::string metrics;            ///< "ip:port" of the metrics; empty: served at the probe's address only.
    std::string peer_listen;        ///< "ip:port" at which other daemons connect; empty: none.
    std::vector<std::string> peers; ///< "ip:port" of the seed peers.
    std::string store;              ///< "ip:port" of the platform's store.
    std::string promotion_address;  ///< "ip:port" of the service that promotes members; empty: none.
    bool first_start = false;       ///< The daemons of the whole system start for the first time.
    bool fences_enforced = true;    ///< The platform rejects a fencing token below one it has seen.
    duration drain_bound = std::chrono::seconds(7);        ///< A draining member must get no new work after this time.
    duration grace = std::chrono::seconds(6);              ///< From the termination signal until the process is killed.
    duration config_apply_bound = std::chrono::seconds(3); ///< Time in which a new configuration must take effect.
    duration quota_window = std::chrono::seconds(5);       ///< Sliding window in which tenants' operations are counted.
    double quota_overage = 0;                              ///< Fraction by which a window may exceed a quota.
    double quota_slack = 0;                                ///< Operations by which a window may exceed a quota as well.
    std::uint32_t max_descriptors = 1024;
    std::size_t memory_mb = 512;                      ///< Memory that the process may use, in MiB.
    double processor_cores = default_processor_cores; ///< Processor time that the instance may use, in cores.
    double link_mbps = default_link_mbps;             ///< Bandwidth of the instance's link.

    friend auto operator<=>(const gateway_settings_fields&, const gateway_settings_fields&) = default;
};

/// Settings of a daemon on the users' platform, read from its settings file.
using gateway_settings = immutable<gateway_settings_fields>;

} // namespace citronfall
