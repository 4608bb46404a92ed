#include "registration/lease_keeper.h"

#include "chart/embedded_program.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Renewals per time to live: two consecutive ones may fail before the lease expires.
constexpr int renewals_per_lifetime = 3;

/// Fraction of the time to live for which the holder relies on the lease; the rest is a margin for clock drift.
constexpr double trusted_fraction = 0.9;

/// Timeout of one call: longer than a slow store takes, shorter than the time to live.
constexpr duration call_timeout = std::chrono::milliseconds(800);

/// Initial backoff after a failed call.
constexpr duration initial_backoff = std::chrono::milliseconds(250);

/// Maximum backoff while calls keep failing; a lease must be renewed soon after the store recovers.
constexpr duration max_backoff = std::chrono::milliseconds(1000);

} // namespace

lease_keeper::lease_keeper(lease_keeper_options options)
    : options_(std::move(options)), backoff_(initial_backoff, max_backoff)
{
}

result<std::unique_ptr<lease_keeper>> lease_keeper::make(lease_keeper_options options)
{
    std::unique_ptr<lease_keeper> keeper(new lease_keeper(std::move(options)));
    if (const auto bound = keeper->bind(); !ok(bound)) {
        return error_of(bound);
    }
    return keeper;
}

result<done> lease_keeper::bind()
{
    auto made = make_embedded_program<event, context>("lease", bindings());
    if (!ok(made)) {
        return error_of(made);
    }
    program_.emplace(take(std::move(made)));
    state_ = program_->initial();
    return done{};
}

chart_bindings<lease_keeper::context> lease_keeper::bindings()
{
    return {.events = {"due", "granted", "renewed", "missing", "failed", "leave"},
            .guards = {},
            .actions = {
                {"ask_for_lease",
                 [](context& each) {
                     each.keeper.send(grant_lease{{.time_to_live = each.keeper.options_.time_to_live}}, each.now);
                 }},
                {"note_lease",
                 [](context& each) {
                     lease_keeper& keeper = each.keeper;
                     keeper.lease_ = (*each.answer)->lease;
                     keeper.time_to_live_ = std::max((*each.answer)->time_to_live, duration{});
                     keeper.valid_from_ = keeper.sent_at_;
                     keeper.next_attempt_ = keeper.sent_at_ + keeper.time_to_live_ / renewals_per_lifetime;
                     keeper.backoff_.reset();
                     keeper.options_.log("lease_granted", "lease=" + std::to_string(keeper.lease_));
                 }},
                {"send_renewal",
                 [](context& each) {
                     each.keeper.send(renew_lease{{.lease = each.keeper.lease_}}, each.now);
                 }},
                {"note_renewal",
                 [](context& each) {
                     lease_keeper& keeper = each.keeper;
                     keeper.valid_from_ = keeper.sent_at_;
                     keeper.next_attempt_ = keeper.sent_at_ + keeper.time_to_live_ / renewals_per_lifetime;
                     keeper.backoff_.reset();
                 }},
                {"forget_lease",
                 [](context& each) {
                     each.keeper.options_.log("lease_lost", "lease=" + std::to_string(each.keeper.lease_));
                     each.keeper.lease_ = 0;
                 }},
                {"pause",
                 [](context& each) {
                     each.keeper.next_attempt_ = each.now + each.keeper.backoff_.next_delay();
                 }},
                {"end_lease",
                 [](context& each) {
                     each.keeper.send(end_lease{{.lease = each.keeper.lease_}}, each.now);
                 }},
            }};
}

void lease_keeper::fire(event what, const store_answer* answer, instant now)
{
    context each{.keeper = *this, .answer = answer, .now = now};
    state_ = program_->fire(state_, what, each).state;
}

void lease_keeper::send(call_body body, instant now)
{
    sent_at_ = now;
    pending_call_ = options_.call(std::move(body), call_timeout);
}

void lease_keeper::tick(instant now)
{
    if (pending_call_ == 0 && now >= next_attempt_) {
        fire(event::due, nullptr, now);
    }
}

lease_keeper::event lease_keeper::event_of(const store_answer& answer) const
{
    switch (answer->outcome) {
    case call_outcome::done:
        return program_->handles(state_, event::granted) ? event::granted : event::renewed;
    case call_outcome::missing:
        return event::missing;
    case call_outcome::conflict:
    case call_outcome::history_gone:
    case call_outcome::refused:
    case call_outcome::unanswered:
    case call_outcome::malformed:
        break;
    }
    return event::failed;
}

bool lease_keeper::handle(const store_answer& answer, instant now)
{
    if (pending_call_ == 0 || answer->number != pending_call_) {
        return false;
    }
    pending_call_ = 0;
    fire(event_of(answer), &answer, now);
    return true;
}

void lease_keeper::leave(instant now)
{
    fire(event::leave, nullptr, now);
}

bool lease_keeper::valid(instant now) const
{
    const auto trusted = std::chrono::duration_cast<duration>(time_to_live_ * trusted_fraction);
    return lease_ != 0 && now - valid_from_ < trusted;
}

} // namespace citronfall
