#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Fields of a daemon's registration.
struct daemon_registration_fields {
    std::string name;
    std::string peer_address; ///< "ip:port" for other daemons.
    std::string data_center;
    std::uint64_t incarnation = 0; ///< Tells runs of one daemon apart.

    friend auto operator<=>(const daemon_registration_fields&, const daemon_registration_fields&) = default;
};

/// What a daemon registers about itself in the store; ends with its lease.
using daemon_registration = immutable<daemon_registration_fields>;

} // namespace citronfall
