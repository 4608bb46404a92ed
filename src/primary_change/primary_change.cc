#include "primary_change/primary_change.h"

#include "chart/embedded_program.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Time for peers to answer a poll; a round trip within a region takes a few milliseconds.
constexpr duration poll_timeout = std::chrono::milliseconds(150);

/// Time from the loss of the primary until it may be replaced although fewer than half of the daemons are known to have
/// lost it: the others may still reach it, and a change would roll back the commits they acknowledge. A change must
/// finish within 9 s; detecting the loss and the change itself take about 1 s.
constexpr duration minority_wait = std::chrono::milliseconds(7500);

/// Time for members to report their log positions. A status statement may wait for a slot on the member.
constexpr duration positions_timeout = std::chrono::milliseconds(150);

/// Time from an accepted promotion until the new primary proves its leadership; members take a few hundred
/// milliseconds.
constexpr duration leadership_timeout = std::chrono::milliseconds(1500);

/// Time for the old primary to step down, and again for its successor to receive the rest of the log.
constexpr duration catch_up_timeout = std::chrono::milliseconds(2000);

/// Delay before the next attempt when the peers still reach the primary. They may detect its failure slightly later.
constexpr duration disagreement_retry_delay = std::chrono::milliseconds(100);

/// Minimum time between two changes of a service, to avoid flapping.
constexpr duration min_change_interval = std::chrono::milliseconds(1500);

/// Time for which the platform's rejection of a member counts: it was not running, and may be soon.
constexpr duration rejection_validity = std::chrono::milliseconds(500);

/// A daemon that has never known a leader waits this long before it treats the service as leaderless: members that
/// start together with it register over several seconds, and the leader may be the last.
constexpr duration initial_search_time = std::chrono::milliseconds(5000);

/// Longest time for which a member that refuses connections for lack of room is taken for the leader. Connections of
/// instances that lost power take up its room for a few seconds.
constexpr duration max_full_time = std::chrono::seconds(15);

/// Age up to which a member's refusal of a connection for lack of room shows that it runs. Attempts are half a second
/// apart.
constexpr duration refusal_validity = std::chrono::milliseconds(1500);

bool refuses_connections(const pooled_member& member, instant now)
{
    return member.all.size() == member.opening && member.refused_at && now - *member.refused_at < refusal_validity;
}

} // namespace

result<std::unique_ptr<primary_change>> primary_change::make(primary_change_options options, member_pool& pool)
{
    std::unique_ptr<primary_change> made(new primary_change(std::move(options), pool));
    if (const auto bound = made->bind(); !ok(bound)) {
        return error_of(bound);
    }
    return made;
}

primary_change::primary_change(primary_change_options options, member_pool& pool)
    : options_(std::move(options)), pool_(pool), pauses_({.service = options_.service,
                                                          .state = options_.state,
                                                          .sync_replicas = options_.sync_replicas,
                                                          .read_status = options_.read_status,
                                                          .log = options_.log},
                                                         pool)
{
}

result<done> primary_change::bind()
{
    auto orders =
        outstanding_promotions::make({.service = options_.service,
                                      .daemon = options_.daemon,
                                      .fence = options_.fence,
                                      .raise_fence = options_.raise_fence,
                                      .fence_refused = options_.fence_refused,
                                      .call = options_.call,
                                      .state = options_.state,
                                      .sync_replicas = options_.sync_replicas,
                                      .paused_since = [this](instant since) { return pauses_.paused_since(since); },
                                      .log = options_.log});
    if (!ok(orders)) {
        return error_of(orders);
    }
    orders_ = take(std::move(orders));
    auto made = make_embedded_program<event, context>("primary_change", bindings());
    if (!ok(made)) {
        return error_of(made);
    }
    program_.emplace(take(std::move(made)));
    state_ = program_->initial();
    return done{};
}

std::map<std::string, std::function<bool(const primary_change::context&)>> primary_change::guards()
{
    return {
        {"may_change",
         [](const context& each) {
             return each.change.may_change(each.now);
         }},
        {"may_hand_over",
         [](const context& each) {
             return each.change.may_hand_over(each.now);
         }},
        {"peers_agree",
         [](const context& each) {
             return each.change.peers_agree(each.now);
         }},
        {"may_order",
         [](const context& each) {
             return each.change.may_order(each.now);
         }},
        {"may_leave_accepted",
         [](const context& each) {
             return each.change.may_leave_accepted();
         }},
        {"orders_closed",
         [](const context& each) {
             return each.change.orders_closed();
         }},
        {"may_end",
         [](const context& each) {
             return each.change.orders_closed() && each.change.options_.state().leadership.leader();
         }},
        {"leader_known",
         [](const context& each) {
             return each.change.options_.state().leadership.leader().has_value();
         }},
        {"relies_on_positions",
         [](const context& each) {
             return each.change.options_.sync_replicas() > 0 && !each.change.positions_.empty();
         }},
    };
}

chart_bindings<primary_change::context> primary_change::bindings()
{
    return {
        .events = {"leader_silent", "leader_down", "leader_leaving", "leader_found", "peers_answered", "answers_due",
                   "positions_complete", "positions_due", "accepted", "refused", "unanswered", "lead_due",
                   "stepped_down", "step_failed", "caught_up", "catch_up_due", "duty_lost"},
        .guards = guards(),
        .actions =
            {
                {"ask_peers",
                 [](context& each) {
                     each.change.ask_peers(each.now);
                 }},
                {"ask_positions",
                 [](context& each) {
                     each.change.ask_positions(each.now);
                 }},
                {"order_promotion",
                 [](context& each) {
                     each.change.order_promotion(each.now);
                 }},
                {"step_down",
                 [](context& each) {
                     each.change.step_leader_down(each.now);
                 }},
                {"ask_catch_up",
                 [](context& each) {
                     each.change.ask_catch_up(each.now);
                 }},
                {"note_wait",
                 [](context& each) {
                     each.change.note_wait(each.now);
                 }},
                {"raise_fence",
                 [](context& each) {
                     each.change.options_.raise_fence(each.now);
                 }},
                {"note_refusal",
                 [](context& each) {
                     primary_change& change = each.change;
                     change.rejected_until_[change.successor_] = each.now + rejection_validity;
                     change.orders_->note_refusal(change.ordered_fence_, each.now);
                 }},
                {"note_disagreement",
                 [](context& each) {
                     primary_change& change = each.change;
                     change.next_attempt_ = each.now + disagreement_retry_delay;
                     change.options_.log("change_declined",
                                         "service=" + change.options_.service +
                                             " reaching=" + std::to_string(change.reachable_votes_) +
                                             " missing=" + std::to_string(change.unreachable_votes_) +
                                             " known=" + std::to_string(change.poll_.known));
                 }},
                {"note_end",
                 [](context& each) {
                     each.change.finish_change(each.now);
                 }},
            },
        .arm_timer = [](context& each, const chart_timer& timer) { each.change.arm(timer, each.now); },
    };
}

void primary_change::fire(event what, instant now)
{
    context each{.change = *this, .now = now};
    const state_id before = state_;
    state_ = program_->fire(state_, what, each).state;
    if (before != state_) {
        options_.log("primary_change", "service=" + options_.service + " from=" + program_->state_name(before) +
                                           " to=" + program_->state_name(state_) +
                                           " leader=" + options_.state().leadership.last_leader() +
                                           " term=" + std::to_string(options_.state().leadership.term()));
    }
}

void primary_change::arm(const chart_timer& timer, instant now)
{
    const std::map<std::string, duration> timeouts = {{"answers", poll_timeout},
                                                      {"positions", positions_timeout},
                                                      {"lead", leadership_timeout},
                                                      {"catch_up", catch_up_timeout}};
    const std::uint64_t generation = ++timer_generation_;
    const event due = program_->event(timer->event);
    options_.at(now + timeouts.at(timer->timer), [this, generation, due](instant at) {
        if (generation == timer_generation_) {
            fire(due, at);
        }
    });
}

bool primary_change::in_progress() const
{
    return state_ != program_->initial();
}

bool primary_change::may_change(instant now) const
{
    return now >= next_attempt_ && options_.fence(now).has_value();
}

void primary_change::tick(instant now)
{
    orders_->observe(now);
    if (in_progress()) {
        if (!options_.fence(now)) {
            fire(event::duty_lost, now);
            return;
        }
        resume_ordered(now);
        return;
    }
    orders_->tick(now);
    resume_replicas(now);
    if (const auto reason = suspicion(now)) {
        fire(*reason, now);
    }
}

/// Resumes replication on the ordered member alone while its promotion is open: a former primary that is back can then
/// have commits acknowledged by it, and they are in its log when it takes the lead.
void primary_change::resume_ordered(instant now)
{
    const std::string& state = program_->state_name(state_);
    const bool ordered = state == "promoting" || state == "confirming";
    if (ordered && options_.sync_replicas() > 0 && orders_->only(ordered_member_, now)) {
        pauses_.resume(ordered_member_, now);
    }
}

/// Resumes replication once this daemon knows the leader and no promotion can replace it any more.
void primary_change::resume_replicas(instant now)
{
    const auto fence = options_.fence(now);
    if (!fence || !options_.state().leadership.leader()) {
        return; // Replication may be paused for a change that another daemon runs.
    }
    if (options_.sync_replicas() > 0 && !orders_->settled(now)) {
        pauses_.look_at_replicas(
            now); // Those of a change that another daemon did not finish hurry the promotions' end.
        return;   // The primary must not acknowledge commits that an earlier promotion would drop.
    }
    pauses_.tick(*fence, now);
}

/// The reason to replace the primary; empty if there is none.
std::optional<primary_change::event> primary_change::suspicion(instant now)
{
    const leadership_view& leadership = options_.state().leadership;
    if (leadership.leader()) {
        const pooled_member* leader = pool_.member(*leadership.leader());
        const bool leaving = leader == nullptr || !leader->listed || leader->entry->draining;
        return leaving ? std::optional(event::leader_leaving) : std::nullopt;
    }
    const instant since = leadership.lost_since().value_or(no_leader_since_.value_or(now));
    if (leader_may_be_full(now) && now - since < max_full_time) {
        no_leader_since_ = since;
        return std::nullopt;
    }
    if (!leadership.lost_since()) {
        no_leader_since_ = since;
        return now - since > initial_search_time ? std::optional(event::leader_silent) : std::nullopt;
    }
    const pooled_member* last = pool_.member(leadership.last_leader());
    // A member whose registration expired may still serve daemons in the same network partition.
    const bool down = last != nullptr && last->health.reachability() == member_reachability::down;
    return down ? event::leader_down : event::leader_silent;
}

/// Whether the last leader, or any member if none was known, runs and has no room for a connection on which it could
/// prove that it leads.
bool primary_change::leader_may_be_full(instant now) const
{
    const std::string& last = options_.state().leadership.last_leader();
    const std::vector<std::string>& members = pool_.members_of(options_.service);
    return std::any_of(members.begin(), members.end(), [&](const std::string& id) {
        const pooled_member* member = pool_.member(id);
        return (last.empty() || last == id) && member != nullptr && refuses_connections(*member, now);
    });
}

void primary_change::leader_found(const std::string& member, term_number term, instant now)
{
    static_cast<void>(member);
    static_cast<void>(term);
    no_leader_since_.reset();
    fire(event::leader_found, now);
}

void primary_change::ask_peers(instant now)
{
    started_at_ = now;
    unreachable_votes_ = 0;
    reachable_votes_ = 0;
    const leadership_view& leadership = options_.state().leadership;
    poll_ = options_.ask_peers(leadership.last_leader(), leadership.term(), now);
}

void primary_change::peer_answered(std::uint64_t number, bool unreachable, instant now)
{
    if (number != poll_.number) {
        return;
    }
    ++(unreachable ? unreachable_votes_ : reachable_votes_);
    if (unreachable_votes_ + reachable_votes_ >= poll_.asked) {
        fire(event::peers_answered, now);
    }
}

bool primary_change::peers_agree(instant now) const
{
    const std::size_t unreachable_count = unreachable_votes_ + 1; // Includes this daemon.
    const auto lost_since = options_.state().leadership.lost_since();
    const bool waited = now - lost_since.value_or(no_leader_since_.value_or(now)) >= minority_wait;
    return unreachable_count > reachable_votes_ && (2 * unreachable_count >= poll_.known + 1 || waited);
}

/// Whether the change may end with the present leader although a promotion was accepted, which takes effect a little
/// later.
bool primary_change::may_leave_accepted() const
{
    return options_.sync_replicas() == 0 || options_.state().leadership.leader() == ordered_member_;
}

/// Whether the change may end with the present leader: none of its orders would drop what that one acknowledges.
bool primary_change::orders_closed() const
{
    return may_leave_accepted() || orders_->open().empty();
}

void primary_change::finish_change(instant now)
{
    const auto& leader = options_.state().leadership.leader();
    if (!ordered_member_.empty() && leader == ordered_member_) {
        ++completed_total_;
        next_attempt_ = now + min_change_interval;
        orders_->took_effect(ordered_fence_, now);
        options_.log("primary_changed", "service=" + options_.service + " member=" + ordered_member_ +
                                            " took_ms=" + std::to_string((now - started_at_).count() / 1000) +
                                            " fence=" + std::to_string(ordered_fence_));
    }
    successor_.clear();
    ordered_member_.clear();
    old_primary_.clear();
    final_position_.reset();
    last_wait_.clear();
    orders_->reset_refusals();
}

void primary_change::order_promotion(instant now)
{
    successor_ =
        final_position_ && !successor_.empty() ? successor_ : most_advanced_candidate(now).value_or(successor_);
    final_position_.reset();
    const auto fence = options_.fence(now);
    if (!fence || successor_.empty()) {
        return; // The next tick handles the loss of the lock.
    }
    ordered_member_ = successor_;
    ordered_fence_ = *fence;
    pending_call_ = orders_->order(successor_, *fence);
}

bool primary_change::handle(const store_answer& answer, instant now)
{
    if (!orders_->handle(answer, now)) {
        return false;
    }
    if (answer->number != pending_call_) {
        return true; // Not an order of the present change.
    }
    pending_call_ = 0;
    if (answer->outcome == call_outcome::done) {
        fire(event::accepted, now);
    } else if (answer->outcome == call_outcome::conflict) {
        fire(event::refused, now);
    } else {
        constexpr duration order_retry_delay = std::chrono::milliseconds(100);
        options_.at(now + order_retry_delay, [this](instant at) {
            if (pending_call_ == 0) {
                fire(event::unanswered, at);
            }
        });
    }
    return true;
}

} // namespace citronfall
