#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

namespace citronfall {

struct routing_config_fields {
    duration status_interval =
        std::chrono::milliseconds(100); ///< Interval of status calls to a member when no request waits for one.
    duration suspect_after =
        std::chrono::milliseconds(600); ///< Time without an answer after which a primary is suspected to have failed.
    duration replica_wait = std::chrono::milliseconds(20); ///< Maximum wait for a replica to catch up.
    bool prefer_data_center = true; ///< Whether members in the daemon's own data centre are preferred.
    bool automatic_failover = true; ///< Whether daemons replace a failed primary without an operator.

    friend auto operator<=>(const routing_config_fields&, const routing_config_fields&) = default;
};

/// Section `routing` of the document.
class routing_config : public immutable<routing_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
