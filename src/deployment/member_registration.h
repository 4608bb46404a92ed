#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Fields of a member's registration.
struct member_registration_fields {
    std::string id;
    std::string service;
    std::string address; ///< "ip:port"
    std::string data_center;
    std::uint32_t slots = 1;
    bool draining = false;
    bool reports_primary = false;   ///< The member reports itself as primary; up to one heartbeat old.
    duration warm_up_left{};        ///< How long the member still answers slowly after its start.
    std::int64_t started_at_ms = 0; ///< Unix time of the member's start; it may restart under the same id.

    friend auto operator<=>(const member_registration_fields&, const member_registration_fields&) = default;
};

/// The registration of a member in the store.
using member_registration = immutable<member_registration_fields>;

} // namespace citronfall
