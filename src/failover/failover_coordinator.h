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

/// What a failover coordinator needs from the rest of the daemon.
struct failover_coordinator_options {
    std::string daemon;                                                   ///< Name of this daemon.
    std::function<const group_view&(const std::string& group)> view;      ///< What is known of a group.
    std::function<std::optional<instant>(const member_key&)> last_answer; ///< When a member last gave its status.
    std::function<bool(const member_key&)> last_call_failed;              ///< Whether the last call to it failed.
    std::function<std::string(const member_key&)> address;                ///< "ip:port" of a member.
    std::function<void(const member_key&, const member_call&, instant)> control; ///< Sends a control call.
    std::function<void(const std::string& group, instant)> poll;                 ///< Polls a group's members at once.
    std::function<void(const platform_call&)> platform;                ///< Hands a call to the platform thread.
    std::function<void(const outgoing_peer_message&)> peer;            ///< Hands a message to the peer thread.
    std::function<std::string(const failover_record&)> encode;         ///< Text of a record for the platform.
    std::function<result<failover_record>(const std::string&)> decode; ///< Reads the text of a record.
    std::function<std::uint64_t()> next_number;                        ///< A call or query number never used before.
    std::function<std::uint64_t()> random;                             ///< For nonces, and for jitter between daemons.
    std::function<bool(const std::string& group)> automation_paused = [](const std::string&) {
        return false;
    }; ///< Whether the group is left alone because a person changed it.
    std::function<void(std::string_view counter)> count; ///< Counts an event.
    std::function<void(const std::string&)> log;         ///< Writes a line for a change of state.
};

/// Suspects primaries that fall silent and leads changes of primary, each group in a state of the chart `failover`.
///
/// Correctness rests on terms and on compare-and-swap of the group's record alone; suspicion, peers and waits only
/// decide how often a change is tried. Not thread-safe: owned by the decision thread.
class failover_coordinator {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<failover_coordinator> make(failover_coordinator_options options);

    /// Works by this document from now on.
    void accept(const operator_config& document, instant now);

    /// The group's view has been updated by an answer of `member`.
    void observed(const member_key& member, instant now);

    /// A control call has ended.
    void apply(const control_call_result& ended, instant now);

    /// A platform call has ended. Whether it was a call of this coordinator.
    bool apply(const platform_event& event, instant now);

    /// Answers a peer's suspicion query, or takes a reply. Ignores other messages.
    void apply(const peer_event& event, instant now);

    /// Delivers the timers that are due and looks for silent primaries.
    void tick(instant now);

    /// When tick() is next needed.
    [[nodiscard]] std::optional<instant> next() const;

    /// Name of the state that a group is in; for logs and tests. Precondition: the document declares the group.
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
        std::uint64_t timer = 0;      ///< Number of the newest timer; older ones are void.
        term_number known_term = 0;   ///< Term of the view when it was last looked at.
        std::string known_primary;    ///< Primary of the view when it was last looked at; empty if none.
        instant known_since;          ///< Since when term and primary are as they are.
        term_number primary_term = 0; ///< Term of the primary that was last known.
        failover_backoff backoff;
        instant attempt_at;      ///< Earliest instant of the next attempt.
        unsigned attempts = 0;   ///< Attempts since the primary last answered.
        std::uint64_t query = 0; ///< Number of the question to the peers.
        bool peer_answered = false;
        bool writing = false;                        ///< The platform call is a compare-and-swap.
        std::uint64_t call = 0;                      ///< Number of the platform call that is waited for; 0 if none.
        kv_revision revision = 0;                    ///< Of the record as last read or written.
        std::optional<failover_record> seen;         ///< The record as last read; absent if it cannot be read.
        failover_record own;                         ///< The record that this daemon wrote or wants to write.
        std::uint64_t waited_for = 0;                ///< Nonce of a record whose leader has been given time.
        std::map<std::string, member_status> fenced; ///< By member, in the term of `own`.
        unsigned tries = 0;                          ///< Rounds of control calls in the present state.
        term_number led_term = 0;                    ///< Highest term in which this daemon promoted a member.
        std::map<std::string, instant> redirect_at;  ///< When a member that does not follow is told to.
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
    void look(group_state& subject, instant now);
    void redirect(group_state& subject, const member_key& member, instant now);
    [[nodiscard]] std::optional<instant> silent_at(const group_state& subject) const;
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
    void yield(group_state& subject, instant now);
    void note(const group_state& subject, std::string_view counter, const std::string& what) const;

    failover_coordinator_options options_;
    program program_;
    operator_config policy_;
    std::map<std::string, group_state> groups_;
    std::map<std::uint64_t, std::string> calls_; ///< Group by number of a platform call.
    timer_queue<armed_timer> timers_;
};

} // namespace citronfall
