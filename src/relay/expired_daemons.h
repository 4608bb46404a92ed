#pragma once

#include "citronfall/instant.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// Daemons that were assigned to a service and whose leases expired recently. They may be partitioned from the store
/// only, and still serve callers. Not thread-safe: owned by the decision thread.
class expired_daemons {
public:
    /// Updates a service: `listed` are the daemons registered now, `before` those assigned to the service until now.
    void update(const std::string& service, const std::vector<std::string>& before, const std::set<std::string>& listed,
                instant now);

    /// Number of expired daemons that may still serve the service.
    [[nodiscard]] std::size_t count(const std::string& service, instant now) const;

private:
    std::map<std::string, std::map<std::string, instant>> since_; ///< Time of expiry, by service and daemon.
};

} // namespace citronfall
