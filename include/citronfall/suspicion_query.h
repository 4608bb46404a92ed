#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"

#include <cstdint>
#include <string>

namespace citronfall {

struct suspicion_query_fields {
    std::uint64_t number = 0; ///< Echoed in the reply.
    std::string group;
    std::string member;
    term_number term = 0; ///< Term in which the member is primary.

    friend auto operator<=>(const suspicion_query_fields&, const suspicion_query_fields&) = default;
};

/// Asks a peer whether it also gets no answer from a primary.
class suspicion_query : public immutable<suspicion_query_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
