#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "leader/service_state.h"
#include "mirror/store_answer.h"
#include "mirror/store_call.h"
#include "primary_change/open_promotion.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace citronfall {

/// Settings and hooks of outstanding_promotions. The hooks are called on the decision thread.
struct outstanding_promotions_options {
    std::string service;
    std::string daemon;                                         ///< Name of this daemon, as sent to the platform.
    std::function<std::optional<std::uint64_t>(instant)> fence; ///< Fencing token; empty without the failover lock.
    std::function<void(instant)> raise_fence;
    std::function<void(std::uint64_t fence)> fence_refused; ///< The platform rejected the token.
    std::function<call_number(call_body, duration timeout)> call;
    std::function<service_state&()> state;
    std::function<std::uint32_t()> sync_replicas;
    std::function<bool(instant)> paused_since; ///< Whether a replica was asked to pause, or found paused, since then.
    std::function<void(const std::string&, const std::string&)> log; ///< Event name, fields.
};

/// The promotions of one service that were ordered and may still take effect (chart `outstanding_promotions`).
///
/// A promotion without an answer may be carried out seconds later, unless the platform has seen a higher fencing token
/// by then. Between changes of primary, the holder of the failover lock makes such orders void: it raises its token and
/// shows it to the platform by ordering the promotion of the present primary, which changes nothing. A new holder does
/// the same for the orders of earlier holders if acknowledged commits must survive a change of primary. See
/// docs/design/outstanding-orders.md. Not thread-safe: owned by the decision thread.
class outstanding_promotions {
public:
    /// Error (bad_request): the chart does not match the bindings.
    [[nodiscard]] static result<std::unique_ptr<outstanding_promotions>> make(outstanding_promotions_options options);

    /// Observes whether this daemon holds the lock. Call it every few tens of milliseconds.
    void observe(instant now);

    /// Makes open orders void. Call it every few tens of milliseconds while no change of primary is in progress.
    void tick(instant now);

    /// Orders the promotion of a member. Returns the number of the call, whose answer has to be passed to handle().
    /// Precondition: `fence` is the present token.
    call_number order(const std::string& member, std::uint64_t fence);

    /// Makes the orders of earlier holders void during a change: shows the token by an order for the former primary,
    /// which changes nothing, or which the platform rejects because that member is not running. Without effect while
    /// such an order is in flight or shortly after one. Precondition: no other member has led since.
    void announce(const std::string& former_primary, instant now);

    /// Handles an answer of the platform. Returns false, without effect, if the call was not made by this object.
    bool handle(const store_answer& answer, instant now);

    /// Reports that a member took the lead by an order that carried `fence`: the platform has seen the token.
    void took_effect(std::uint64_t fence, instant now);

    /// Reports that the platform rejected an order with the present token. After two in a row the token counts as
    /// superseded and is raised.
    void note_refusal(std::uint64_t fence, instant now);

    /// Forgets earlier rejections, because a change of primary has ended.
    void reset_refusals() { consecutive_refusals_ = 0; }

    /// Whether no order for another member than `member` could be carried out after one with the present token.
    [[nodiscard]] bool allows(const std::string& member, instant now) const;

    /// Whether no promotion, ordered by this or an earlier holder of the lock, can take effect any more but that of
    /// `member`. False without the lock.
    [[nodiscard]] bool only(const std::string& member, instant now) const;

    /// Whether no order of an earlier holder can take effect any more. False without the lock.
    [[nodiscard]] bool earlier_void(instant now) const;

    /// The same as only() of the present primary: no order can replace it any more. False if it is not known.
    [[nodiscard]] bool settled(instant now) const;

    /// Orders that may still be carried out, at most one for each member; for logs and tests.
    [[nodiscard]] std::vector<open_promotion> open() const;

private:
    enum class event : std::uint8_t {
        order_open,
        token_unseen,
        nothing_open,
        accepted,
        refused,
        unanswered,
        duty_lost,
    };
    struct context {
        outstanding_promotions& orders;
        instant now;
    };

    explicit outstanding_promotions(outstanding_promotions_options options) : options_(std::move(options)) {}

    result<done> bind();
    static chart_bindings<context> bindings();
    void fire(event what, instant now);
    void show_token(instant now);
    void note_accepted(const open_promotion& accepted, instant now);
    void note_shown(call_outcome outcome, instant now);
    [[nodiscard]] bool must_show(std::uint64_t fence, instant now) const;
    [[nodiscard]] bool knows_leader(instant now) const;
    [[nodiscard]] bool has_open_order_from(std::uint64_t fence) const;

    outstanding_promotions_options options_;
    std::optional<chart_program<event, context>> program_;
    state_id state_{};
    std::map<call_number, open_promotion> calls_;     ///< Orders in flight.
    std::map<std::string, std::uint64_t> unanswered_; ///< Highest token of the unanswered orders, by member.
    std::uint64_t seen_fence_ = 0;                    ///< Highest token that the platform is known to have seen.
    std::optional<std::uint64_t> acquired_fence_;     ///< First token of the time for which the lock has been held.
    instant held_since_{};
    instant settled_at_{};         ///< When earlier orders that were accepted in time have taken effect.
    call_number announced_by_ = 0; ///< Call that shows the token during a change; 0: none is in flight.
    call_number shown_by_ = 0;     ///< Call that shows the token; 0: none is in flight.
    instant next_show_{};
    std::optional<instant> show_wanted_since_;
    unsigned consecutive_refusals_ = 0;
};

} // namespace citronfall
