#pragma once

#include "citronfall/instant.h"
#include "citronfall/kv_entry.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronfall::standin {

/// Model of the platform's key-value service without sockets: values with revisions, and leases.
///
/// Deterministic and single-threaded; time is an argument.
class platform_model {
public:
    /// Current entry; revision 0 if the key does not exist.
    [[nodiscard]] kv_entry read(const std::string& key) const;

    /// Writes a value if the revision matches. Returns the new entry, or nothing if the revision does not match.
    std::optional<kv_entry> compare_and_swap(const std::string& key, kv_revision expected, const std::string& value);

    /// Acquires or renews a lease. Returns whether `holder` has it.
    bool lease(const std::string& key, const std::string& holder, duration ttl, instant now);

private:
    struct lease_state {
        std::string holder;
        instant expires;
    };

    std::map<std::string, kv_entry> entries_;
    std::map<std::string, lease_state> leases_;
    kv_revision last_revision_ = 0;
};

} // namespace citronfall::standin
