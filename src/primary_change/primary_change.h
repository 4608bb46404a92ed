#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "leader/service_state.h"
#include "mirror/store_answer.h"
#include "mirror/store_call.h"
#include "pool/member_pool.h"
#include "pool/replication_status.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace citronfall {

/// A question to the peers whether they, too, miss a primary.
struct suspicion_poll {
    std::uint64_t number = 0; ///< Repeated in the replies.
    std::size_t asked = 0;    ///< Peers that may reply.
    std::size_t known = 0;    ///< Peers that may serve the service, those that cannot be asked included.
};

/// Settings and hooks of a change of primary. The hooks are called on the decision thread.
struct primary_change_options {
    std::string service;
    std::string daemon;                                         ///< Name of this daemon, for the platform.
    std::function<std::optional<std::uint64_t>(instant)> fence; ///< Nothing: another daemon has the duty.
    std::function<void(instant)> raise_fence;
    std::function<void(std::uint64_t fence)> fence_refused; ///< The platform refused the fence.
    std::function<suspicion_poll(const std::string& member, term_number, instant)> ask_peers;
    std::function<call_number(call_body, duration timeout)> call;
    std::function<service_state&()> state;
    std::function<std::uint32_t()> sync_replicas;
    std::function<result<replication_status>(const std::string& row)> read_status;
    std::function<void(instant due, std::function<void(instant)>)> at; ///< Calls back at an instant.
    std::function<void(const std::string&, const std::string&)> log;   ///< Event and its fields.
};

/// Replaces the primary of one service when it is lost or is to leave (chart `primary_change`). Runs on every daemon
/// and acts only on the one that has the duty.
///
/// A silent primary is replaced if most of the peers that answer miss it too and at least half of the daemons that may
/// serve the service are among those that miss it; a daemon that is cut off with the members it reaches waits for the
/// others. A primary whose process is down is replaced at once. The member with the furthest log follows. A primary
/// that is to leave steps down first, and its successor takes over once it has received everything, so that nothing is
/// lost. Not thread-safe: owned by the decision thread.
class primary_change {
public:
    /// Error (bad_request): the chart does not fit.
    [[nodiscard]] static result<std::unique_ptr<primary_change>> make(primary_change_options options,
                                                                      member_pool& pool);

    /// Starts a change when there is reason to. To be called every few tens of milliseconds.
    void tick(instant now);

    /// The service has a leader.
    void leader_found(const std::string& member, term_number term, instant now);

    /// A peer answered the question `number`.
    void peer_answered(std::uint64_t number, bool misses_it, instant now);

    /// An answer of the platform; ignored unless it belongs to this change. Returns whether it did.
    bool handle(const store_answer& answer, instant now);

    /// Whether a change is in progress on this daemon.
    [[nodiscard]] bool in_progress() const;

    /// Changes completed by this daemon.
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

    primary_change(primary_change_options options, member_pool& pool) : options_(std::move(options)), pool_(pool) {}

    result<done> bind();
    static chart_bindings<context> bindings();
    void fire(event what, instant now);
    void arm(const chart_timer& timer, instant now);
    [[nodiscard]] bool may_change(instant now) const;
    [[nodiscard]] std::optional<event> suspicion(instant now);
    void ask_peers(instant now);
    [[nodiscard]] bool peers_agree(instant now) const;
    void ask_positions(instant now);
    void ask_position(const std::string& member, instant now);
    void on_position(const std::string& member, connection_number connection, const exchange_outcome& outcome,
                     instant now);
    [[nodiscard]] std::vector<std::string> promotion_candidates(bool draining_too) const;
    [[nodiscard]] std::size_t required_positions() const;
    [[nodiscard]] std::optional<std::string> most_advanced_candidate() const;
    [[nodiscard]] std::optional<std::string> least_lagging_candidate() const;
    void resume_replicas(instant now);
    void on_resumed(const std::string& member, connection_number connection, const exchange_outcome& outcome,
                    instant now);
    void order_promotion(instant now);
    void step_leader_down(instant now);
    void on_stepped_down(connection_number connection, const exchange_outcome& outcome, instant now);
    void ask_catch_up(instant now);
    void on_catch_up(connection_number connection, const exchange_outcome& outcome, instant now);
    void note_end(instant now);

    primary_change_options options_;
    member_pool& pool_;
    std::optional<chart_program<event, context>> program_;
    state_id state_{};
    std::uint64_t entry_ = 0;              ///< Timers of earlier entries of a state are stale.
    std::optional<instant> unknown_since_; ///< No leader was ever known since.
    instant started_at_{};
    instant next_attempt_{};
    suspicion_poll question_;
    std::size_t missing_it_ = 0;
    std::size_t reaching_it_ = 0;
    std::map<std::string, log_position> positions_; ///< Received logs by member.
    std::size_t positions_asked_ = 0;
    std::set<std::string> paused_;               ///< Members that perhaps do not receive because of a change.
    std::set<std::string> resuming_;             ///< Of these, those that were told to receive and did not answer yet.
    std::uint64_t resumed_with_ = 0;             ///< Fence with which all members were told to receive.
    std::string leaving_;                        ///< Member that stepped down.
    std::optional<log_position> final_position_; ///< Of the member that stepped down.
    std::string successor_;
    std::map<std::string, instant> refused_until_; ///< Members that the platform refused to promote.
    unsigned refusals_ = 0;                        ///< In a row.
    std::uint64_t ordered_fence_ = 0;
    call_number pending_ = 0;
    std::uint64_t completed_total_ = 0;
};

} // namespace citronfall
