#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"

#include <cstdint>

namespace citronfall {

struct suspicion_reply_fields {
    std::uint64_t number = 0;
    bool suspects = false; ///< The peer gets no answer from the primary.
    term_number term = 0;  ///< Highest term of the group known to the peer.

    friend auto operator<=>(const suspicion_reply_fields&, const suspicion_reply_fields&) = default;
};

/// Answer to a suspicion_query.
class suspicion_reply : public immutable<suspicion_reply_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
