#pragma once

#include "citronfall/immutable.h"
#include "registration/daemon_capacity.h"

#include <cstdint>
#include <string>

namespace citronfall {

struct daemon_registration_fields {
    std::string name;
    std::string peer_address; ///< "ip:port" at which other daemons connect.
    std::string data_center;
    double capacity = default_processor_cores; ///< See daemon_capacity().
    std::uint64_t incarnation = 0;             ///< Distinguishes runs of the same daemon.

    friend auto operator<=>(const daemon_registration_fields&, const daemon_registration_fields&) = default;
};

/// A daemon's registration in the store, which the store removes when the daemon's lease expires.
using daemon_registration = immutable<daemon_registration_fields>;

} // namespace citronfall
