#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"

#include <cstdint>
#include <string>

namespace citronfall {

/// Fields of a failover record.
struct failover_record_fields {
    std::string group;
    term_number term = 0;    ///< Claimed by compare-and-swap, so that each term has at most one leader.
    std::string leader;      ///< Daemon that runs the failover of this term.
    std::uint64_t nonce = 0; ///< Random; lets the leader recognise its own record after a lost answer.
    std::string primary;     ///< Member chosen as primary of this term; empty until it is chosen.

    friend auto operator<=>(const failover_record_fields&, const failover_record_fields&) = default;
};

/// Value of the platform's key `groups/<group>`: the latest term in which a failover began, the daemon that runs it and
/// the member that it chose as primary.
class failover_record : public immutable<failover_record_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
