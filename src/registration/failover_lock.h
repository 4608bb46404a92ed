#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

struct failover_lock_fields {
    std::string service;
    std::string holder;            ///< Name of the daemon.
    std::uint64_t incarnation = 0; ///< Run of the daemon that acquired the lock.
    std::uint64_t fence = 0; ///< Fencing token: the entry's revision in the store, which grows with each acquisition.

    friend auto operator<=>(const failover_lock_fields&, const failover_lock_fields&) = default;
};

/// Lock on the right to change the primary of a service. Held by at most one daemon.
using failover_lock = immutable<failover_lock_fields>;

} // namespace citronfall
