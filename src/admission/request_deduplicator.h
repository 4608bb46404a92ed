#pragma once

#include "citronfall/caller_request.h"
#include "citronfall/ids.h"
#include "citronfall/instant.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace citronfall {

/// Tells repeated tries of the same request id from new work.
///
/// A try that arrives while the first one is in progress follows it: it is not run, and gets the answer of the first.
/// It must not be refused as not run, because the first try may run. A try that returns before the time it was told
/// after a refusal is refused again without being considered. Not thread-safe: owned by the decision thread.
class request_deduplicator {
public:
    /// Registers a request as the first of its id and returns true, or as a follower of the one in progress and returns
    /// false. Reads and requests without an id are
    /// always first.
    [[nodiscard]] bool first(const caller_request& request);

    /// How long the id has still to wait after a refusal, if it has returned early.
    [[nodiscard]] std::optional<duration> remaining_backoff(const caller_request& request, instant now) const;

    /// Notes that the request was refused with a time to retry after.
    void refused(const caller_request& request, duration retry_after, instant now);

    /// Ends the request and returns the followers that get its answer.
    [[nodiscard]] std::vector<caller_request> ended(const caller_request& request);

    /// Removes and returns a follower whose own deadline has passed, if any.
    [[nodiscard]] std::optional<caller_request> take_expired(instant now);

    /// When take_expired() is next needed.
    [[nodiscard]] std::optional<instant> next() const;

    /// Number of followers.
    [[nodiscard]] std::size_t followers() const { return deadlines_.size(); }

private:
    using repeat_key = std::tuple<std::string, std::string, std::string>; ///< Tenant, group and request id.

    struct entry {
        request_handle leader = 0;
        std::map<request_handle, caller_request> followers;
    };

    [[nodiscard]] static repeat_key key_of(const caller_request& request);

    std::map<repeat_key, entry> running_;
    std::multimap<instant, std::pair<repeat_key, request_handle>> deadlines_;
    std::map<repeat_key, instant> refused_; ///< When each id may return.
    std::deque<repeat_key> refused_order_;
};

} // namespace citronfall
