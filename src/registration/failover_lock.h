#pragma once

#include "citronfall/immutable.h"
#include "citronfall/store_item.h"
#include "citronfall/store_revision.h"

#include <cstdint>
#include <string>

namespace citronfall {

struct failover_lock_fields {
    std::string service;
    std::string holder;            ///< Name of the daemon.
    std::uint64_t incarnation = 0; ///< Run of the daemon that acquired the lock.
    store_revision acquired_at;    ///< Of the entry in the store; it grows with each acquisition.
    lease_number lease = 0;        ///< Lease that the entry is attached to.

    friend auto operator<=>(const failover_lock_fields&, const failover_lock_fields&) = default;
};

/// Lock on the right to change the primary of a service. Held by at most one daemon.
using failover_lock = immutable<failover_lock_fields>;

} // namespace citronfall
