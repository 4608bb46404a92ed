#pragma once

#include "citronfall/evidence_kind.h"
#include "citronfall/instant.h"
#include "citronfall/outcome.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronfall::testing {

/// One request as its caller saw it, in simulated time.
struct recorded_operation {
    std::size_t session = 0;
    bool booking = false;     ///< A booking of `key`.
    bool transaction = false; ///< A transaction over `key`-left and `key`-right. If neither is set: a read of `key`.
    std::string key;
    std::string request_id; ///< Also the value that a booking or transaction writes.
    instant invoked;
    std::optional<instant> answered; ///< Absent if no answer arrived.
    citronfall::outcome effect = citronfall::outcome::unknown;
    evidence_kind evidence = evidence_kind::none;
    bool refused = false;                    ///< The database refused the booking, because the key is taken.
    std::string result;                      ///< Value read, or value that a refused booking conflicts with.
    bool retry = false;                      ///< The request was marked as a retry.
    bool carried_session = true;             ///< The request carried the session's token.
    std::optional<duration> max_staleness{}; ///< Maximum staleness that the read accepts.
};

/// One entry of the group's final log.
struct final_entry {
    std::string request_id;
    std::map<std::string, std::string> changes; ///< Value by key; a transaction has two.
    bool ran = false;                           ///< False if the entry records a cancellation.
};

/// Checks the history that callers saw against the group's final log, independently of the code under test. Relies on
/// a workload in which bookings are never deleted and each booking writes a unique value.
class history_checker {
public:
    /// Returns one line for each violation: the name of the rule, a colon and details.
    ///
    /// - lost: a booking or transaction that was confirmed by a majority is not in the log.
    /// - doubled: two bookings of one key are in the log.
    /// - ran_twice: a request ran more than once.
    /// - ran_though_not_run: a request answered with "not run" ran.
    /// - own_write_unread: a read did not show what its session had written or read.
    /// - stale: a linearizable read did not show a booking confirmed before it began.
    /// - too_old: a read showed older data than the staleness that it accepts.
    /// - unconfirmed: a read showed a value that is not in the log.
    /// - mixed: a read showed a value of another key or, in a transaction, of another transaction.
    /// - torn: only a part of a transaction is in the log.
    /// - false_refusal: a booking was refused although its key is free.
    [[nodiscard]] static std::vector<std::string> check(const std::vector<recorded_operation>& history,
                                                        const std::vector<final_entry>& log);
};

} // namespace citronfall::testing
