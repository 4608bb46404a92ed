#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace citronfall {

/// Fields of an entry of a connection share ledger.
struct connection_share_entry_fields {
    std::map<std::string, std::int64_t> allocated; ///< Connections by member, without transfers that are not settled.
    bool dead = false;                             ///< The holder's lease has expired.
    /// For a dead holder: the holders whose transfers with it are included in `allocated`. Contains the dead holder
    /// itself if it has closed all its connections to members.
    std::set<std::string> settled;

    friend auto operator<=>(const connection_share_entry_fields&, const connection_share_entry_fields&) = default;
};

/// The connections that a ledger allocates to one holder.
class connection_share_entry : public immutable<connection_share_entry_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
