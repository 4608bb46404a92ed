#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

namespace citronfall {

/// Fields of the routing section.
struct routing_config_fields {
    duration status_interval = std::chrono::milliseconds(100); ///< Between status calls to a member when nothing waits.
    duration suspect_after = std::chrono::milliseconds(600);   ///< Silence after which a primary is suspected.
    duration replica_wait = std::chrono::milliseconds(20);     ///< Greatest wait for a replica to catch up.
    bool prefer_data_center = true; ///< Whether members of the daemon's data centre go first.
    bool automatic_failover = true; ///< Whether daemons change the primary on their own.

    friend auto operator<=>(const routing_config_fields&, const routing_config_fields&) = default;
};

/// The routing section of the document.
class routing_config : public immutable<routing_config_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
