#pragma once

#include "citronfall/instant.h"

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// Daemons that held connections to a service's members and whose leases ended a short while ago. They may be cut off
/// from the store and still serve. Not thread-safe: owned by the decision thread.
class expired_daemons {
public:
    /// `listed` are the daemons of the directory now, `before` the homes of the service until now.
    void update(const std::string& service, const std::vector<std::string>& before, const std::set<std::string>& listed,
                instant now);

    /// How many of them may still serve the service.
    [[nodiscard]] std::size_t count(const std::string& service, instant now) const;

private:
    std::map<std::string, std::map<std::string, instant>> since_; ///< By service and daemon.
};

} // namespace citronfall
