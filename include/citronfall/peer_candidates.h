#pragma once

#include "citronfall/immutable.h"

#include <string>
#include <vector>

namespace citronfall {

/// Fields of a list of candidates.
struct peer_candidates_fields {
    std::vector<std::string> addresses; ///< "ip:port" of the peer ports of daemons that the platform lists as live.
    std::vector<std::string> wanted;    ///< Of these, the ones to stay connected to besides chosen neighbours.

    friend auto operator<=>(const peer_candidates_fields&, const peer_candidates_fields&) = default;
};

/// Message to the peer thread: the daemons from which it may choose neighbours, next to the seeds of the settings.
class peer_candidates : public immutable<peer_candidates_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
