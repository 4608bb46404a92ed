#pragma once

#include "citronfall/immutable.h"
#include "citronfall/member_key.h"

#include <cstdint>

namespace citronfall {

struct share_request_fields {
    member_key member;
    std::uint32_t wanted = 0; ///< Connections that the requesting daemon could use immediately.
    std::uint32_t held = 0;   ///< Current share of the requesting daemon.

    friend auto operator<=>(const share_request_fields&, const share_request_fields&) = default;
};

/// Requests part of a peer's share of a member's connections.
class share_request : public immutable<share_request_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
