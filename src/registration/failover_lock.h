#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Fields of a duty.
struct failover_lock_fields {
    std::string service;
    std::string holder;            ///< Name of the daemon.
    std::uint64_t incarnation = 0; ///< Run of the daemon that took the duty.
    std::uint64_t fence = 0;       ///< Revision of the entry in the store; grows with each change of hands.

    friend auto operator<=>(const failover_lock_fields&, const failover_lock_fields&) = default;
};

/// Who changes the primary of a service.
using failover_lock = immutable<failover_lock_fields>;

} // namespace citronfall
