#pragma once

#include "citronfall/immutable.h"

#include <cstdint>

namespace citronfall {

struct share_ack_fields {
    std::uint64_t number = 0; ///< Number of the grant.
    bool accepted = false;

    friend auto operator<=>(const share_ack_fields&, const share_ack_fields&) = default;
};

/// Answer to a share_grant.
class share_ack : public immutable<share_ack_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
