#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/member_status.h"

namespace citronfall {

struct status_observation_fields {
    member_status status;
    instant sent_at;     ///< When the call was sent: the status is at least as recent as this.
    instant received_at; ///< When the answer arrived.

    friend auto operator<=>(const status_observation_fields&, const status_observation_fields&) = default;
};

/// Status of a member, with the times of the call and of its answer.
class status_observation : public immutable<status_observation_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
