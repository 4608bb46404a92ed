#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "leader/service_state.h"
#include "mirror/store_answer.h"
#include "mirror/store_call.h"
#include "pool/member_pool.h"
#include "pool/replication_status.h"
#include "primary_change/outstanding_promotions.h"
#include "primary_change/replica_pauses.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace citronfall {

/// A poll that asks peers whether they can reach a primary.
struct suspicion_poll {
    std::uint64_t number = 0; ///< Echoed in the replies.
    std::size_t asked = 0;    ///< Connected peers that were asked.
    std::size_t known = 0;    ///< Other daemons that may serve the service, connected or not.
};

/// Settings and hooks of a change of primary. The hooks are called on the decision thread.
struct primary_change_options {
    std::string service;
    std::string daemon;                                         ///< Name of this daemon, as sent to the platform.
    std::function<std::optional<std::uint64_t>(instant)> fence; ///< Fencing token; empty without the failover lock.
    std::function<void(instant)> raise_fence;
    std::function<void(std::uint64_t fence)> fence_refused; ///< The platform rejected the token.
    std::function<suspicion_poll(const std::string& member, term_number, instant)> ask_peers;
    std::function<call_number(call_body, duration timeout)> call;
    std::function<service_state&()> state;
    std::function<std::uint32_t()> sync_replicas;
    std::function<result<replication_status>(const std::string& row)> read_status;
    std::function<void(instant due, std::function<void(instant)>)> at; ///< Runs the callback at `due`.
    std::function<void(const std::string&, const std::string&)> log;   ///< Event name, fields.
};

/// Replaces the primary of one service when it fails or drains (chart `primary_change`). Every daemon has an instance,
/// but only the one on the holder of the service's failover lock acts.
///
/// An unresponsive primary is replaced if a majority of the answering daemons cannot reach it either and they make up
/// at least half of all daemons that may serve the service. A daemon in a minority partition waits first, because the
/// other side may still use the primary. A primary whose process is down is replaced at once. The member with the most
/// advanced log is promoted. A draining primary steps down first, and its successor is promoted once it has received
/// the whole log, so no commit is lost.
///
/// If commits are acknowledged only once replicas have received them, a change that has ordered a promotion goes on
/// until the ordered member leads or the order is known to be rejected, even if the former primary answers again, and
/// replication stays paused until no order can take effect any more (outstanding_promotions). Not thread-safe: owned by
/// the decision thread.
class primary_change {
public:
    /// Error (bad_request): the chart does not match the bindings.
    [[nodiscard]] static result<std::unique_ptr<primary_change>> make(primary_change_options options,
                                                                      member_pool& pool);

    /// Starts a change if one is needed. Call it every few tens of milliseconds.
    void tick(instant now);

    /// Reports that a member has proved that it leads the service.
    void leader_found(const std::string& member, term_number term, instant now);

    /// Reports a peer's reply to the poll `number`. `unreachable`: the peer cannot reach the primary either.
    void peer_answered(std::uint64_t number, bool unreachable, instant now);

    /// Handles an answer of the platform. Returns false, without effect, if the call was not made by this object.
    bool handle(const store_answer& answer, instant now);

    /// Whether a change is in progress on this daemon.
    [[nodiscard]] bool in_progress() const;

    /// Number of changes that this daemon completed.
    [[nodiscard]] std::uint64_t completed_total() const { return completed_total_; }

private:
    enum class event : std::uint8_t {
        leader_silent,
        leader_down,
        leader_leaving,
        leader_found,
        peers_answered,
        answers_due,
        positions_complete,
        positions_due,
        accepted,
        refused,
        unanswered,
        lead_due,
        stepped_down,
        step_failed,
        caught_up,
        catch_up_due,
        duty_lost,
    };
    struct context {
        primary_change& change;
        instant now;
    };

    primary_change(primary_change_options options, member_pool& pool);

    result<done> bind();
    static std::map<std::string, std::function<bool(const context&)>> guards();
    static chart_bindings<context> bindings();
    void fire(event what, instant now);
    void arm(const chart_timer& timer, instant now);
    [[nodiscard]] bool may_change(instant now) const;
    [[nodiscard]] std::optional<event> suspicion(instant now);
    [[nodiscard]] bool leader_may_be_full(instant now) const;
    void ask_peers(instant now);
    [[nodiscard]] bool peers_agree(instant now) const;
    void ask_positions(instant now);
    void query_position(const std::string& member, instant now);
    void on_position(const std::string& member, connection_number connection, term_number pause_term,
                     const exchange_outcome& outcome, instant now);
    [[nodiscard]] std::vector<std::string> promotion_candidates(bool draining_too) const;
    [[nodiscard]] std::vector<std::string> asked_replicas() const;
    [[nodiscard]] bool is_former_primary(const std::string& id) const;
    [[nodiscard]] std::size_t required_positions() const;
    [[nodiscard]] std::optional<std::string> most_advanced_candidate(instant now) const;
    [[nodiscard]] bool may_order(instant now) const;
    [[nodiscard]] bool waits_for_earlier_orders(instant now) const;
    [[nodiscard]] bool may_hand_over(instant now) const;
    void note_wait(instant now);
    [[nodiscard]] std::optional<std::string> least_lagging_candidate() const;
    void resume_ordered(instant now);
    void resume_replicas(instant now);
    void order_promotion(instant now);
    void step_leader_down(instant now);
    void on_stepped_down(connection_number connection, const exchange_outcome& outcome, instant now);
    void ask_catch_up(instant now);
    void on_catch_up(connection_number connection, const exchange_outcome& outcome, instant now);
    void finish_change(instant now);
    [[nodiscard]] bool may_leave_accepted() const;
    [[nodiscard]] bool orders_closed() const;

    primary_change_options options_;
    member_pool& pool_;
    std::unique_ptr<outstanding_promotions> orders_;
    replica_pauses pauses_;
    std::optional<chart_program<event, context>> program_;
    state_id state_{};
    std::uint64_t timer_generation_ = 0;     ///< Generation of the armed timer; older timers are ignored.
    std::optional<instant> no_leader_since_; ///< First tick without a leader; cleared when one is found.
    instant started_at_{};
    instant next_attempt_{};
    suspicion_poll poll_;
    std::size_t unreachable_votes_ = 0;
    std::size_t reachable_votes_ = 0;
    std::map<std::string, log_position> positions_; ///< End of the received log, by member.
    std::size_t positions_asked_ = 0;
    std::string old_primary_;                    ///< Member that is asked to step down.
    std::optional<log_position> final_position_; ///< Log position at which it stepped down.
    std::string successor_;
    std::map<std::string, instant> rejected_until_; ///< Members are not ordered again before this time.
    std::string last_wait_;                         ///< Last logged reason why no promotion was ordered.
    std::string ordered_member_;                    ///< Member of the last order of this change.
    std::uint64_t ordered_fence_ = 0;               ///< Token of that order.
    call_number pending_call_ = 0;
    std::uint64_t completed_total_ = 0;
};

} // namespace citronfall
