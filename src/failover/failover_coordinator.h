#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/group_view.h"
#include "citronfall/instant.h"
#include "citronfall/member_call.h"
#include "citronfall/member_key.h"
#include "citronfall/operator_config.h"
#include "citronfall/outgoing_peer_message.h"
#include "citronfall/peer_event.h"
#include "citronfall/platform_call.h"
#include "citronfall/platform_event.h"
#include "citronfall/result.h"
#include "core/timer_queue.h"
#include "failover/failover_backoff.h"
#include "failover/failover_record.h"
#include "group/status_poller.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace citronfall {

/// Hooks through which a failover coordinator uses the rest of the daemon.
struct failover_coordinator_options {
    std::string daemon;                                                   ///< Name of this daemon.
    std::function<const group_view&(const std::string& group)> view;      ///< Latest statuses of a group's members.
    std::function<std::optional<instant>(const member_key&)> last_answer; ///< When a member last reported its status.
    /// Whether the last call to a member, or connecting to it, failed.
    std::function<bool(const member_key&)> last_call_failed;
    std::function<std::string(const member_key&)> address; ///< "ip:port" of a member.
    /// Sends a fence, promote or follow call.
    std::function<void(const member_key&, const member_call&, instant)> control;
    std::function<void(const std::string& group, instant)> poll; ///< Polls a group's members for their status at once.
    std::function<void(const platform_call&)> platform;          ///< Passes a call to the platform thread.
    std::function<void(const outgoing_peer_message&)> peer;      ///< Passes a message to the peer thread.
    std::function<std::string(const failover_record&)> encode;   ///< Encodes a record for the platform.
    std::function<result<failover_record>(const std::string&)> decode; ///< Decodes a record from the platform.
    std::function<std::uint64_t()> next_number; ///< Returns a call or query number that has never been used.
    std::function<std::uint64_t()> random;      ///< For nonces, and for jitter between daemons.
    /// Whether failover of the group is paused because an operator changed its primary.
    std::function<bool(const std::string& group)> automation_paused = [](const std::string&) {
        return false;
    };
    std::function<void(std::string_view counter)> count; ///< Increments a counter.
    std::function<void(const std::string&)> log;         ///< Writes a log line.
};

/// Detects primaries that no longer answer and runs the failover to another member. Each group is an instance of the
/// state chart `failover`.
///
/// Correctness depends only on terms and on compare-and-swap of the failover record. Suspicion, the peers' opinions and
/// the waits only limit how often a failover is attempted. Not thread-safe: owned by the decision thread.
class failover_coordinator {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<failover_coordinator> make(failover_coordinator_options options);

    /// Applies a new configuration.
    void configure(const operator_config& config, instant now);

    /// To be called after a status of `member` has updated the group's view.
    void status_observed(const member_key& member, instant now);

    /// Handles the end of a control call.
    void apply(const control_call_result& ended, instant now);

    /// Handles the end of a platform call. Returns whether this coordinator had made the call.
    bool apply(const platform_event& event, instant now);

    /// Answers a peer's suspicion query or handles a reply to one of its own. Ignores other messages.
    void apply(const peer_event& event, instant now);

    /// Runs the timers that are due and checks for primaries that no longer answer.
    void tick(instant now);

    /// When tick() must be called next, if anything is scheduled.
    [[nodiscard]] std::optional<instant> next() const;

    /// Name of the chart state that a group is in, for logs and tests. Precondition: the group is configured.
    [[nodiscard]] const std::string& state_name(const std::string& group) const;

private:
    enum class failover_event {
        suspected,
        primary_answered,
        attempt_due,
        peer_agreed,
        asked_long_enough,
        record_read,
        written,
        conflict,
        platform_failed,
        platform_lost,
        member_fenced,
        promoted,
        overtaken,
        retry_due,
    };

    struct group_state {
        std::string group;
        std::vector<std::string> members;
        state_id state{};
        std::uint64_t timer = 0;           ///< Number of the latest timer; earlier ones are ignored.
        term_number last_term = 0;         ///< Term of the view when it was last checked.
        std::string last_primary;          ///< Primary of the view when it was last checked; empty if none.
        instant last_change_at;            ///< When the term or the primary last changed.
        term_number last_primary_term = 0; ///< Term of the last known primary.
        failover_backoff backoff;
        instant next_attempt_at;      ///< Earliest time of the next attempt.
        unsigned failed_attempts = 0; ///< Failed attempts since the primary last answered.
        std::uint64_t query = 0;      ///< Number of the latest suspicion query to the peers.
        bool peer_answered = false;
        bool write_in_progress = false;             ///< Whether the platform call in progress is a compare-and-swap.
        std::uint64_t call = 0;                     ///< Number of the platform call in progress; 0 if none.
        kv_revision revision = 0;                   ///< Revision of the record as last read or written.
        std::optional<failover_record> last_record; ///< The record as last read; absent if it could not be decoded.
        failover_record own_record;                 ///< The record that this daemon wrote or is about to write.
        std::uint64_t awaited_nonce = 0; ///< Nonce of the record whose leader this daemon has already waited for.
        std::map<std::string, member_status> fenced; ///< Status by member that was fenced in the term of `own_record`.
        unsigned rounds = 0;                         ///< Rounds of control calls since fencing or promotion began.
        term_number promoted_term = 0;               ///< Highest term in which this daemon promoted a member.
        std::map<std::string, instant> redirect_at;  ///< When to tell a member to follow the primary, by member.
    };

    struct step_context {
        failover_coordinator& coordinator;
        group_state& subject;
        instant now;
    };

    struct armed_timer {
        std::string group;
        std::uint64_t number = 0;
        failover_event event{};
    };

    using program = chart_program<failover_event, step_context>;

    failover_coordinator(failover_coordinator_options options, program states);
    [[nodiscard]] static chart_bindings<step_context> bindings();
    void fire(group_state& subject, failover_event event, instant now);
    void arm(group_state& subject, const chart_timer& timer, instant now);
    void check_for_change(group_state& subject, instant now);
    void redirect_to_primary(group_state& subject, const member_key& member, instant now);
    [[nodiscard]] std::optional<instant> suspect_at(const group_state& subject) const;
    [[nodiscard]] instant next_attempt(const group_state& subject) const;
    [[nodiscard]] bool another_leads(const group_state& subject) const;
    [[nodiscard]] duration jitter(duration below) const;

    void ask_peers(group_state& subject);
    void read_record(group_state& subject, instant now);
    void claim_term(group_state& subject, instant now);
    void write_record(group_state& subject, instant now);
    void fence_members(group_state& subject, instant now);
    void choose_primary(group_state& subject);
    void promote(group_state& subject, instant now);
    void postpone(group_state& subject, instant now);
    void yield_to_leader(group_state& subject, instant now);
    void count_and_log(const group_state& subject, std::string_view counter, const std::string& what) const;

    failover_coordinator_options options_;
    program program_;
    operator_config config_;
    std::map<std::string, group_state> groups_;
    std::map<std::uint64_t, std::string> calls_; ///< Group by number of the platform call.
    timer_queue<armed_timer> timers_;
};

} // namespace citronfall
