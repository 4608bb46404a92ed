#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Fields of a group record.
struct failover_record_fields {
    std::string group;
    term_number term = 0;    ///< Given out by compare-and-swap, so that each term has one leader.
    std::string leader;      ///< Daemon that leads the change of primary in this term.
    std::uint64_t nonce = 0; ///< Drawn by the leader; tells its own record from any other after a lost answer.
    std::string primary;     ///< Member chosen in this term; empty until the leader has chosen.

    friend auto operator<=>(const failover_record_fields&, const failover_record_fields&) = default;
};

/// The platform's value `groups/<group>`: who leads the newest term, and which member is its primary.
class failover_record : public immutable<failover_record_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
