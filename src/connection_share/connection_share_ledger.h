#pragma once

#include "citronfall/immutable.h"
#include "connection_share/connection_share_entry.h"

#include <cstdint>
#include <map>
#include <string>

namespace citronfall {

/// Fields of a share ledger.
struct connection_share_ledger_fields {
    std::map<std::string, connection_share_entry> entries; ///< By holder: the daemon's name and incarnation.

    friend auto operator<=>(const connection_share_ledger_fields&, const connection_share_ledger_fields&) = default;
};

/// The platform's value `shares/<group>`. Written when a holder joins, is found dead, settles or is reclaimed.
class connection_share_ledger : public immutable<connection_share_ledger_fields> {
public:
    using immutable::immutable;

    /// Connections to a member that are allocated to all holders together. Thread-safe.
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
