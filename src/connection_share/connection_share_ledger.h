#pragma once

#include "citronfall/immutable.h"
#include "connection_share/connection_share_entry.h"

#include <cstdint>
#include <map>
#include <string>

namespace citronfall {

/// Fields of a connection share ledger.
struct connection_share_ledger_fields {
    std::map<std::string, connection_share_entry> entries; ///< By holder, which is a daemon's name and incarnation.

    friend auto operator<=>(const connection_share_ledger_fields&, const connection_share_ledger_fields&) = default;
};

/// Value of the platform's key `shares/<group>`: how the connections to a group's members are divided among daemons.
/// Written only when a holder joins, is marked dead or settles, or when dead holders are removed.
class connection_share_ledger : public immutable<connection_share_ledger_fields> {
public:
    using immutable::immutable;

    /// Total number of connections to a member that are allocated to all holders. Thread-safe.
    [[nodiscard]] std::int64_t allocated(const std::string& member) const
    {
        std::int64_t sum = 0;
        for (const auto& [holder, entry] : (*this)->entries) {
            const auto found = entry->allocated.find(member);
            sum += found == entry->allocated.end() ? 0 : found->second;
        }
        return sum;
    }
};

} // namespace citronfall
