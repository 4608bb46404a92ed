#pragma once

#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "citronfall/member_key.h"
#include "citronfall/status_observation.h"
#include "citronfall/upstream_command.h"
#include "citronfall/upstream_event.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// Hooks and settings of a status poller.
struct status_poller_options {
    std::function<void(const upstream_command&)> send;     ///< Hands a command to the upstream thread.
    std::function<std::string(const member_key&)> address; ///< "ip:port" of a member.
    std::function<std::uint64_t()> next_number;            ///< A connection or exchange number never used before.
    std::function<duration()> interval;                    ///< Between calls to a member while nothing waits for them.
    std::function<duration()> timeout;                     ///< After which a call is given up.
};

/// An observation together with the member it is about.
struct member_observation {
    member_key member;
    status_observation observation;
};

/// How a control call ended.
struct control_call_result {
    member_key member;
    member_call call;
    std::optional<member_answer> answer; ///< Absent if the connection failed; the call may have taken effect.
};

/// What one event of the poller's connections brought.
struct poll_result {
    std::optional<member_observation> observation;
    std::vector<control_call_result> ended;
};

/// Keeps at most one call outstanding to each member, over one connection a member of its own: control calls first,
/// else status calls.
///
/// Not thread-safe: owned by the decision thread.
class status_poller {
public:
    explicit status_poller(status_poller_options options) : options_(std::move(options)) {}

    /// Polls exactly these members from now on.
    void watch(const std::set<member_key>& members, instant now);

    /// Asks for a call to each member of the group that is sent after `now`: at once, or as soon as the outstanding
    /// call has ended.
    void poll_now(const std::string& group, instant now);

    /// Starts the calls that are due.
    void tick(instant now);

    /// Sends a fence, promote or follow call to the member before any further status call. Does nothing if the member
    /// is not polled. The end of the call is reported by apply().
    void control(const member_key& member, const member_call& call, instant now);

    /// Applies an event of one of the poller's connections.
    poll_result apply(const upstream_event& event, instant now);

    /// When tick() is next needed.
    [[nodiscard]] std::optional<instant> next() const;

    /// The member that the connection leads to, if it is one of this poller.
    [[nodiscard]] std::optional<member_key> member_of(connection_number connection) const
    {
        const auto owner = owners_.find(connection);
        return owner == owners_.end() ? std::nullopt : std::optional(owner->second);
    }

    /// Whether the connection belongs to this poller.
    [[nodiscard]] bool contains(connection_number connection) const { return owners_.contains(connection); }

    /// When the member last answered a call with its status, if ever.
    [[nodiscard]] std::optional<instant> last_answer(const member_key& member) const;

    /// Whether the last call to the member, or the last attempt to connect, failed or timed out.
    [[nodiscard]] bool last_call_failed(const member_key& member) const;

private:
    struct member_channel {
        std::optional<connection_number> connection;
        bool ready = false;       ///< The connection is open.
        bool outstanding = false; ///< A call is on its way.
        bool hurried = false;     ///< Another call is wanted after the outstanding one.
        bool failed = false;      ///< The last call or attempt to connect failed.
        instant due;              ///< When the next call or attempt to connect starts.
        std::optional<instant> answered;
        std::deque<member_call> controls; ///< Control calls to send; the first one may be outstanding.
        bool controlling = false;         ///< The outstanding call is the first control call.
    };

    void connect(const member_key& member, member_channel& target, instant now);
    void call(member_channel& target, instant now);
    [[nodiscard]] poll_result drop(const member_key& member, member_channel& target, instant now);

    status_poller_options options_;
    std::map<member_key, member_channel> lanes_;
    std::map<connection_number, member_key> owners_;
};

} // namespace citronfall
