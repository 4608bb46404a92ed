#pragma once

#include "citronfall/immutable.h"
#include "citronfall/member_key.h"

#include <cstdint>

namespace citronfall {

struct share_grant_fields {
    std::uint64_t number = 0; ///< Unique among the grants of one run of the granting daemon.
    member_key member;
    std::uint32_t connections = 0; ///< Already closed by the granting daemon and subtracted from its share.

    friend auto operator<=>(const share_grant_fields&, const share_grant_fields&) = default;
};

/// Transfers part of a daemon's share of a member's connections to a peer.
class share_grant : public immutable<share_grant_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
