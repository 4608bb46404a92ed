#include "registration/lease_client.h"

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

lease_client::lease_client(lease_client_options options)
    : options_(std::move(options)), backoff_(initial_backoff, max_backoff)
{
}

result<std::unique_ptr<lease_client>> lease_client::make(lease_client_options options)
{
    std::unique_ptr<lease_client> client(new lease_client(std::move(options)));
    if (const auto bound = client->bind(); !ok(bound)) {
        return error_of(bound);
    }
    return client;
}

result<done> lease_client::bind()
{
    auto made = make_embedded_program<event, context>("lease", bindings());
    if (!ok(made)) {
        return error_of(made);
    }
    program_.emplace(take(std::move(made)));
    state_ = program_->initial();
    return done{};
}

chart_bindings<lease_client::context> lease_client::bindings()
{
    return {.events = {"due", "granted", "renewed", "missing", "restored", "failed", "leave"},
            .guards = {},
            .actions = {
                {"ask_for_lease",
                 [](context& each) {
                     each.client.send(grant_lease{{.time_to_live = each.client.options_.time_to_live}}, each.now);
                 }},
                {"note_lease",
                 [](context& each) {
                     lease_client& client = each.client;
                     client.lease_ = (*each.answer)->lease;
                     client.era_ = (*each.answer)->era == 0 ? client.known_era_ : (*each.answer)->era;
                     client.time_to_live_ = std::max((*each.answer)->time_to_live, duration{});
                     client.valid_from_ = client.sent_at_;
                     client.next_attempt_ = client.sent_at_ + client.time_to_live_ / renewals_per_lifetime;
                     client.backoff_.reset();
                     client.options_.log("lease_granted", "lease=" + std::to_string(client.lease_));
                 }},
                {"send_renewal",
                 [](context& each) {
                     each.client.send(renew_lease{{.lease = each.client.lease_}}, each.now);
                 }},
                {"note_renewal",
                 [](context& each) {
                     lease_client& client = each.client;
                     client.valid_from_ = client.sent_at_;
                     client.next_attempt_ = client.sent_at_ + client.time_to_live_ / renewals_per_lifetime;
                     client.backoff_.reset();
                 }},
                {"forget_lease",
                 [](context& each) {
                     each.client.options_.log("lease_lost", "lease=" + std::to_string(each.client.lease_) +
                                                                " era=" + std::to_string(each.client.era_));
                     each.client.lease_ = 0;
                     each.client.pending_call_ = 0;
                     each.client.next_attempt_ = each.now;
                 }},
                {"pause",
                 [](context& each) {
                     each.client.next_attempt_ = each.now + each.client.backoff_.next_delay();
                 }},
                {"end_lease",
                 [](context& each) {
                     each.client.send(end_lease{{.lease = each.client.lease_}}, each.now);
                 }},
            }};
}

void lease_client::fire(event what, const store_answer* answer, instant now)
{
    context each{.client = *this, .answer = answer, .now = now};
    state_ = program_->fire(state_, what, each).state;
}

void lease_client::send(call_body body, instant now)
{
    sent_at_ = now;
    pending_call_ = options_.call(std::move(body), call_timeout);
}

void lease_client::tick(instant now)
{
    if (pending_call_ == 0 && now >= next_attempt_) {
        fire(event::due, nullptr, now);
    }
}

lease_client::event lease_client::event_of(const store_answer& answer) const
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
    case call_outcome::too_long:
    case call_outcome::malformed:
        break;
    }
    return event::failed;
}

bool lease_client::handle(const store_answer& answer, instant now)
{
    if (pending_call_ == 0 || answer->number != pending_call_) {
        return false;
    }
    pending_call_ = 0;
    fire(event_of(answer), &answer, now);
    return true;
}

void lease_client::note_era(store_era era, instant now)
{
    known_era_ = std::max(known_era_, era);
    if (known_era_ > era_) {
        fire(event::restored, nullptr, now);
    }
}

void lease_client::leave(instant now)
{
    fire(event::leave, nullptr, now);
}

bool lease_client::valid(instant now) const
{
    const auto trusted = std::chrono::duration_cast<duration>(time_to_live_ * trusted_fraction);
    return lease_ != 0 && now - valid_from_ < trusted;
}

} // namespace citronfall
