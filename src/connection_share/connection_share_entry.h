#pragma once

#include "citronfall/immutable.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace citronfall {

/// Fields of an entry of the share ledger.
struct connection_share_entry_fields {
    std::map<std::string, std::int64_t> allocated; ///< Connections by member, before transfers that are not settled.
    bool dead = false;                             ///< Its lease has lapsed.
    std::set<std::string>
        settled; ///< Of a dead holder: whose transfers with it are in the ledger; itself, if it dropped all.

    friend auto operator<=>(const connection_share_entry_fields&, const connection_share_entry_fields&) = default;
};

/// One holder's part of a group's connections.
class connection_share_entry : public immutable<connection_share_entry_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
