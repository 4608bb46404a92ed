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
    std::function<void(const upstream_command&)> send;     ///< Passes a command to the upstream thread.
    std::function<std::string(const member_key&)> address; ///< "ip:port" of a member.
    std::function<std::uint64_t()> next_number; ///< Returns a connection or exchange number that has never been used.
    std::function<duration()> interval; ///< Between two status calls to a member, unless one is requested earlier.
    std::function<duration()> timeout;  ///< Timeout of a call and of connecting.
};

/// An observed status and the member that reported it.
struct member_observation {
    member_key member;
    status_observation observation;
};

/// How a control call ended.
struct control_call_result {
    member_key member;
    member_call call;
    /// Absent if the connection failed, in which case the call may have taken effect.
    std::optional<member_answer> answer;
};

/// Results of one event of the poller's connections.
struct poll_result {
    std::optional<member_observation> observation;
    std::vector<control_call_result> ended_calls;
};

/// Sends status calls to the members at regular intervals, and control calls on request. Uses one connection to each
/// member with at most one outstanding call. Control calls take precedence over status calls.
///
/// Not thread-safe: owned by the decision thread.
class status_poller {
public:
    explicit status_poller(status_poller_options options) : options_(std::move(options)) {}

    /// Sets the members to poll. Closes the connections to all others.
    void set_members(const std::set<member_key>& members, instant now);

    /// Polls each member of the group again: at once, or as soon as its outstanding call has ended.
    void poll_now(const std::string& group, instant now);

    /// Starts the calls that are due.
    void tick(instant now);

    /// Sends a fence, promote or follow call to the member before any further status call. apply() reports how it
    /// ended. Does nothing if the member is not polled.
    void control(const member_key& member, const member_call& call, instant now);

    /// Handles an event of one of the poller's connections.
    poll_result apply(const upstream_event& event, instant now);

    /// When tick() must be called next, if a member is polled.
    [[nodiscard]] std::optional<instant> next() const;

    /// The member that the connection leads to, if it belongs to this poller.
    [[nodiscard]] std::optional<member_key> member_of(connection_number connection) const
    {
        const auto owner = members_by_connection_.find(connection);
        return owner == members_by_connection_.end() ? std::nullopt : std::optional(owner->second);
    }

    /// Whether the connection belongs to this poller.
    [[nodiscard]] bool contains(connection_number connection) const
    {
        return members_by_connection_.contains(connection);
    }

    /// When the member last reported its status, if it ever did.
    [[nodiscard]] std::optional<instant> last_answer(const member_key& member) const;

    /// Whether the last call to the member, or the last attempt to connect, failed or timed out.
    [[nodiscard]] bool last_call_failed(const member_key& member) const;

private:
    /// The connection to one member.
    struct member_channel {
        std::optional<connection_number> connection;
        bool open = false;                     ///< The connection is open.
        bool outstanding = false;              ///< A call has not been answered yet.
        bool poll_again = false;               ///< A status call is to follow the outstanding call at once.
        bool failed = false;                   ///< The last call or attempt to connect failed.
        instant due;                           ///< When the next call or attempt to connect starts.
        std::optional<instant> last_answer_at; ///< When the member last reported its status.
        std::deque<member_call> control_calls; ///< Control calls to send; the first one may be outstanding.
        bool control_outstanding = false;      ///< The outstanding call is the first control call.
    };

    void connect(const member_key& member, member_channel& target, instant now);
    void call(member_channel& target, instant now);
    [[nodiscard]] poll_result reset_channel(const member_key& member, member_channel& target, instant now);

    status_poller_options options_;
    std::map<member_key, member_channel> channels_;
    std::map<connection_number, member_key> members_by_connection_;
};

} // namespace citronfall
