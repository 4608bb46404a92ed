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

/// Recognises repeated attempts with the same request id.
///
/// An attempt that arrives while the first one is in progress is not run: it waits for the answer of the first. It must
/// not be refused as not run, because the first attempt may run. An attempt that is repeated before the retry time
/// given with its refusal is refused again without further checks. Not thread-safe: owned by the decision thread.
class request_deduplicator {
public:
    /// Returns true if the request is the first one in progress with its id. Otherwise returns false and registers it
    /// as a follower, which gets the answer of the first. Reads and requests without an id always count as first.
    [[nodiscard]] bool first(const caller_request& request);

    /// Remaining time until the id may be retried after a refusal; nothing if it may be retried now.
    [[nodiscard]] std::optional<duration> remaining_backoff(const caller_request& request, instant now) const;

    /// Records that the request was refused, with the time after which it may be retried.
    void refused(const caller_request& request, duration retry_after, instant now);

    /// Ends the request and returns its followers, which get the same answer.
    [[nodiscard]] std::vector<caller_request> ended(const caller_request& request);

    /// Removes and returns a follower whose own deadline has passed, if there is one.
    [[nodiscard]] std::optional<caller_request> take_expired(instant now);

    /// When take_expired() has to be called next.
    [[nodiscard]] std::optional<instant> next() const;

    /// Number of followers.
    [[nodiscard]] std::size_t followers() const { return deadlines_.size(); }

private:
    using request_key = std::tuple<std::string, std::string, std::string>; ///< Tenant, group and request id.

    struct entry {
        request_handle original = 0;
        std::map<request_handle, caller_request> followers;
    };

    [[nodiscard]] static request_key key_of(const caller_request& request);

    std::map<request_key, entry> running_;
    std::multimap<instant, std::pair<request_key, request_handle>> deadlines_;
    std::map<request_key, instant> refused_; ///< When each refused id may be retried.
    std::deque<request_key> refused_order_;
};

} // namespace citronfall
