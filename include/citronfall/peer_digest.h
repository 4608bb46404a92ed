#pragma once

#include "citronfall/daemon_view.h"
#include "citronfall/immutable.h"
#include "citronfall/part_digest.h"

#include <cstdint>
#include <vector>

namespace citronfall {

struct peer_digest_fields {
    std::uint64_t document = 0;     ///< Revision of the document in force on the sender; 0: none.
    std::vector<part_digest> parts; ///< Digests of that document's parts.
    std::vector<daemon_view> views; ///< Bounded selection of the daemon views that the sender knows.

    friend auto operator<=>(const peer_digest_fields&, const peer_digest_fields&) = default;
};

/// Gossip message about the state of a daemon, sent to its neighbours each second and after each change.
class peer_digest : public immutable<peer_digest_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
