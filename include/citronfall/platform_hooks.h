#pragma once

#include "citronfall/instant.h"
#include "citronfall/kv_entry.h"
#include "citronfall/result.h"

#include <functional>
#include <string>
#include <vector>

namespace citronfall {

/// Blocking calls of the platform's service. Each returns at its deadline at the latest.
///
/// All calls return the error connect_failed if the call had no effect, or outcome_unknown if it may have had one.
struct platform_hooks {
    /// Returns the current entry of a key; revision 0 if there is none.
    std::function<result<kv_entry>(const std::string& key, instant deadline)> kv_read;

    /// Writes `value` if the key's revision is `expected`. Returns the entry with its new revision, or the error
    /// conflict if the revision differs.
    std::function<result<kv_entry>(const std::string& key, kv_revision expected, const std::string& value,
                                   instant deadline)>
        kv_compare_and_swap;

    /// Acquires or renews a lease for `holder`. Returns whether `holder` now has it.
    std::function<result<bool>(const std::string& key, const std::string& holder, duration ttl, instant deadline)>
        kv_lease;

    /// Waits until the key's revision exceeds `after`. Returns the current entry, then or at the deadline.
    std::function<result<kv_entry>(const std::string& key, kv_revision after, instant deadline)> kv_watch;

    /// Returns "ip:port" of the daemon instances that the platform lists as live. The list may be out of date.
    std::function<result<std::vector<std::string>>(instant deadline)> instance_list;
};

} // namespace citronfall
