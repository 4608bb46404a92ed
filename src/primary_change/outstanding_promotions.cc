#include "primary_change/outstanding_promotions.h"

#include "chart/embedded_program.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Timeout of an order; the platform answers within a few milliseconds.
constexpr duration order_timeout = std::chrono::milliseconds(800);

/// Delay before the token is shown again after a rejection or a missing answer.
constexpr duration show_retry_delay = std::chrono::milliseconds(100);

/// Time for a promotion that the platform accepted just before it saw a newer token to take effect: several times the
/// few hundred milliseconds that members take.
constexpr duration effect_time = std::chrono::milliseconds(1500);

/// Minimum time from taking the lock until its token is shown without need. It is the time to live of the lock's lease:
/// two daemons that both run must not order promotions in turn within one lease.
constexpr duration min_hold_time = std::chrono::seconds(3);

/// Age up to which a proof of leadership lets the primary be named at once in an order that must not change anything.
constexpr duration max_proof_age = std::chrono::milliseconds(200);

/// Longest wait for such a proof; longer than it takes to notice that a primary is lost. Writes that wait for paused
/// replicas can take all connections to the primary, so that no probe gets through; a member that leads no more refuses
/// the next of them.
constexpr duration max_proof_wait = std::chrono::seconds(2);

} // namespace

result<std::unique_ptr<outstanding_promotions>> outstanding_promotions::make(outstanding_promotions_options options)
{
    std::unique_ptr<outstanding_promotions> made(new outstanding_promotions(std::move(options)));
    if (const auto bound = made->bind(); !ok(bound)) {
        return error_of(bound);
    }
    return made;
}

result<done> outstanding_promotions::bind()
{
    auto made = make_embedded_program<event, context>("outstanding_promotions", bindings());
    if (!ok(made)) {
        return error_of(made);
    }
    program_.emplace(take(std::move(made)));
    state_ = program_->initial();
    return done{};
}

chart_bindings<outstanding_promotions::context> outstanding_promotions::bindings()
{
    return {
        .events = {"order_open", "token_unseen", "nothing_open", "accepted", "refused", "unanswered", "duty_lost"},
        .guards = {},
        .actions =
            {
                {"raise_token",
                 [](context& each) {
                     each.orders.options_.raise_fence(each.now);
                 }},
                {"show_token",
                 [](context& each) {
                     each.orders.show_token(each.now);
                 }},
                {"note_void",
                 [](context& each) {
                     each.orders.options_.log("promotions_void", "service=" + each.orders.options_.service + " fence=" +
                                                                     std::to_string(each.orders.seen_fence_));
                 }},
                {"note_refusal",
                 [](context& each) {
                     each.orders.note_refusal(each.orders.options_.fence(each.now).value_or(0), each.now);
                 }},
            },
    };
}

void outstanding_promotions::fire(event what, instant now)
{
    context each{.orders = *this, .now = now};
    const state_id before = state_;
    state_ = program_->fire(state_, what, each).state;
    if (before != state_) {
        options_.log("outstanding_promotions", "service=" + options_.service + " from=" + program_->state_name(before) +
                                                   " to=" + program_->state_name(state_) +
                                                   " seen=" + std::to_string(seen_fence_) +
                                                   " open=" + std::to_string(open().size()));
    }
}

void outstanding_promotions::observe(instant now)
{
    const auto fence = options_.fence(now);
    if (!fence) {
        acquired_fence_.reset();
        fire(event::duty_lost, now);
    } else if (!acquired_fence_) {
        acquired_fence_ = fence;
        held_since_ = now;
    }
}

void outstanding_promotions::tick(instant now)
{
    const auto fence = options_.fence(now);
    if (!fence || !acquired_fence_) {
        return;
    }
    const bool raise = has_open_order_from(*fence);
    if (raise || !must_show(*fence, now)) {
        show_wanted_since_.reset();
        fire(raise ? event::order_open : event::nothing_open, now);
        return;
    }
    show_wanted_since_ = show_wanted_since_.value_or(now);
    if (now >= next_show_ && knows_leader(now)) {
        fire(event::token_unseen, now);
    }
}

/// Whether the present primary is known well enough to be named in an order that must not change anything.
bool outstanding_promotions::knows_leader(instant now) const
{
    const auto proved_at = options_.state().primary_positions.newest();
    const bool proved = proved_at && now - *proved_at <= max_proof_age;
    const bool waited = show_wanted_since_ && now - *show_wanted_since_ >= max_proof_wait;
    return options_.state().leadership.leader() && (proved || waited);
}

/// Whether an order with a lower token than `fence`, of this daemon or an earlier holder, may still be carried out.
bool outstanding_promotions::must_show(std::uint64_t fence, instant now) const
{
    if (!unanswered_.empty()) {
        return seen_fence_ < fence;
    }
    // A paused replica tells of a change that this or an earlier holder did not finish: writes wait for its end.
    const bool may_show = now - held_since_ >= min_hold_time || options_.paused_since(held_since_);
    return options_.sync_replicas() > 0 && seen_fence_ < *acquired_fence_ && may_show;
}

bool outstanding_promotions::has_open_order_from(std::uint64_t fence) const
{
    return std::any_of(unanswered_.begin(), unanswered_.end(), [&](const auto& each) { return each.second >= fence; });
}

void outstanding_promotions::show_token(instant now)
{
    next_show_ = now + show_retry_delay;
    const auto fence = options_.fence(now);
    const auto& leader = options_.state().leadership.leader();
    if (fence && leader) {
        shown_by_ = order(*leader, *fence);
    }
}

call_number outstanding_promotions::order(const std::string& member, std::uint64_t fence)
{
    const call_number number = options_.call(
        promote_member{{.service = options_.service, .member = member, .holder = options_.daemon, .fence = fence}},
        order_timeout);
    calls_[number] = open_promotion{{.member = member, .fence = fence}};
    options_.log("promotion_ordered", "service=" + options_.service + " member=" + member +
                                          " fence=" + std::to_string(fence) + " call=" + std::to_string(number));
    return number;
}

bool outstanding_promotions::handle(const store_answer& answer, instant now)
{
    const auto found = calls_.find(answer->number);
    if (found == calls_.end()) {
        return false;
    }
    const open_promotion ordered = found->second;
    calls_.erase(found);
    switch (answer->outcome) {
    case call_outcome::done:
        note_accepted(ordered, now);
        break;
    case call_outcome::conflict:
        if (answer->number == announced_by_) {
            note_accepted(ordered, now); // The former primary is not running; the platform has seen the token.
        }
        break;
    case call_outcome::refused:
    case call_outcome::missing:
        break; // Nothing was done, and nothing will be.
    case call_outcome::history_gone:
    case call_outcome::unanswered:
    case call_outcome::too_long:
    case call_outcome::malformed:
        std::uint64_t& highest = unanswered_[ordered->member];
        highest = std::max(highest, ordered->fence);
        break;
    }
    options_.log("promotion_answered", "service=" + options_.service + " member=" + ordered->member + " fence=" +
                                           std::to_string(ordered->fence) + " call=" + std::to_string(answer->number) +
                                           " outcome=" + call_outcome_name(answer->outcome) + " reason=\"" +
                                           answer->detail + "\" open=" + std::to_string(open().size()));
    if (answer->number == shown_by_) {
        shown_by_ = 0;
        note_shown(answer->outcome, now);
    }
    return true;
}

void outstanding_promotions::note_shown(call_outcome outcome, instant now)
{
    if (outcome == call_outcome::done) {
        fire(event::accepted, now);
    } else {
        fire(outcome == call_outcome::conflict ? event::refused : event::unanswered, now);
    }
}

/// The platform has seen the token, so orders with lower ones are void, unless they were accepted just before.
void outstanding_promotions::note_accepted(const open_promotion& accepted, instant now)
{
    consecutive_refusals_ = 0;
    const bool first = acquired_fence_ && seen_fence_ < *acquired_fence_; // Earlier holders' orders end here.
    seen_fence_ = std::max(seen_fence_, accepted->fence);
    const std::size_t ended = std::erase_if(
        unanswered_, [&](const auto& each) { return each.second < seen_fence_ && each.first != accepted->member; });
    std::erase_if(unanswered_, [this](const auto& each) { return each.second < seen_fence_; });
    if (first || ended > 0) {
        settled_at_ = now + effect_time;
    }
}

void outstanding_promotions::took_effect(std::uint64_t fence, instant now)
{
    note_accepted(open_promotion{{.member = options_.state().leadership.last_leader(), .fence = fence}}, now);
    settled_at_ = now; // It took effect after those that were accepted before it.
}

void outstanding_promotions::note_refusal(std::uint64_t fence, instant now)
{
    constexpr unsigned max_refusals = 2; // Most likely the platform has seen a higher fencing token.
    if (++consecutive_refusals_ >= max_refusals) {
        consecutive_refusals_ = 0;
        options_.fence_refused(fence);
        options_.raise_fence(now);
    }
}

bool outstanding_promotions::allows(const std::string& member, instant now) const
{
    const auto fence = options_.fence(now);
    const std::vector<open_promotion> all = open();
    return fence && std::none_of(all.begin(), all.end(), [&](const open_promotion& each) {
               return each->member != member && each->fence >= *fence;
           });
}

void outstanding_promotions::announce(const std::string& former_primary, instant now)
{
    const auto fence = options_.fence(now);
    const bool in_flight = calls_.contains(announced_by_);
    if (!fence || in_flight || now < next_show_) {
        return;
    }
    next_show_ = now + show_retry_delay;
    announced_by_ = order(former_primary, *fence);
}

bool outstanding_promotions::earlier_void(instant now) const
{
    return options_.fence(now) && acquired_fence_ && seen_fence_ >= *acquired_fence_ && now >= settled_at_;
}

bool outstanding_promotions::only(const std::string& member, instant now) const
{
    if (!earlier_void(now)) {
        return false;
    }
    const std::vector<open_promotion> all = open();
    return std::all_of(all.begin(), all.end(), [&](const open_promotion& each) { return each->member == member; });
}

bool outstanding_promotions::settled(instant now) const
{
    const auto& leader = options_.state().leadership.leader();
    return leader && only(*leader, now);
}

std::vector<open_promotion> outstanding_promotions::open() const
{
    std::map<std::string, std::uint64_t> highest = unanswered_;
    for (const auto& [number, order] : calls_) {
        highest[order->member] = std::max(highest[order->member], order->fence);
    }
    std::vector<open_promotion> all;
    all.reserve(highest.size());
    for (const auto& [member, fence] : highest) {
        all.push_back(open_promotion{{.member = member, .fence = fence}});
    }
    return all;
}

} // namespace citronfall
