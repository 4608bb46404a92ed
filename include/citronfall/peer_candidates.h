#pragma once

#include "citronfall/immutable.h"

#include <string>
#include <vector>

namespace citronfall {

struct peer_candidates_fields {
    std::vector<std::string> addresses; ///< "ip:port" of the peer ports of live daemons, according to the platform.
    std::vector<std::string> pinned;    ///< Of these, the ones to connect to in addition to the chosen neighbours.

    friend auto operator<=>(const peer_candidates_fields&, const peer_candidates_fields&) = default;
};

/// Message to the peer thread: daemons to choose neighbours from, in addition to the seeds in the settings.
class peer_candidates : public immutable<peer_candidates_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
