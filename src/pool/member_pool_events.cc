#include "pool/member_pool.h"

#include "citronfall/error_table.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace citronfall {
namespace {

/// Pause after a connection attempt that the instance refused at once.
constexpr duration refused_pause = std::chrono::milliseconds(150);

/// Pause after a connection attempt that timed out.
constexpr duration timeout_pause = std::chrono::milliseconds(200);

/// Pause after the member rejected the session startup.
constexpr duration rejected_pause = std::chrono::milliseconds(300);

/// Pause after a different member answered at the address: the registration in the store is out of date, or the address
/// was reused.
constexpr duration wrong_member_pause = std::chrono::seconds(2);

/// Upper bound on the latency estimate that refusals of an overloaded member can build up, so that the member is tried
/// again within seconds.
constexpr duration max_overload_latency = std::chrono::milliseconds(500);

/// Assumed latency of a member that refuses a statement before it has answered any.
constexpr duration default_overload_latency = std::chrono::milliseconds(20);

} // namespace

void member_pool::handle(const member_event& message, instant now)
{
    if (const auto* opened = std::get_if<member_connection_opened>(&message)) {
        on_opened((*opened)->connection, now);
    } else if (const auto* reply = std::get_if<member_reply>(&message)) {
        on_reply(*reply, now);
    } else if (const auto* closed = std::get_if<member_connection_closed>(&message)) {
        on_closed(*closed, now);
    }
}

void member_pool::on_opened(connection_number number, instant now)
{
    pooled_connection* pooled = find(number);
    if (pooled == nullptr) {
        return;
    }
    pooled_member& target = members_.at(pooled->member);
    const std::string member = pooled->member;
    --target.opening;
    target.refusals = 0;
    const member_reachability before = target.health.reachability();
    target.health.answered(now);
    fire(*pooled, event::opened, now);
    update_reachability(target, before, now);
    if (target.has_started) {
        start_ramp(target, now);
    }
    hooks_.idle(member, now);
}

/// Updates the latency estimate. A refusal arrives faster than an answer and does not show how long an answer takes; as
/// a sample it would draw statements to the member that refuses them. A refusal for lack of a free slot raises the
/// estimate.
void member_pool::record_latency(pooled_member& target, const member_reply& reply, duration latency, instant now)
{
    const auto kind = reply->failure ? std::optional((*reply->failure)->kind) : std::nullopt;
    if (kind == error_kind::overloaded) {
        target.latency.answered(std::min(2 * target.latency.at(now, default_overload_latency), max_overload_latency),
                                now);
    } else if (kind != error_kind::replica_behind && kind != error_kind::not_primary) {
        target.latency.answered(latency, now);
    }
}

void member_pool::on_reply(const member_reply& reply, instant now)
{
    pooled_connection* pooled = find(reply->connection);
    if (pooled == nullptr) {
        return;
    }
    if (pooled->exchanges.empty()) {
        hooks_.log("member_unexpected_answer", "member=" + pooled->member);
        fire(*pooled, event::discard, now);
        return;
    }
    const std::string member = pooled->member;
    exchange finished = std::move(pooled->exchanges.front());
    pooled->exchanges.pop_front();
    pooled->transaction = reply->state;
    pooled_member& target = members_.at(member);
    const member_reachability before = target.health.reachability();
    target.health.answered(now);
    if (finished.counts_as_load) {
        --target.running;
        record_latency(target, reply, now - finished.sent_at, now);
        const bool refused = reply->failure && (*reply->failure)->kind == error_kind::overloaded;
        observe_pace(target, refused ? pace_signal::refused : pace_signal::answered, now - finished.sent_at, now);
    }
    update_reachability(target, before, now);
    hooks_.answered(member, reply, finished.sent_at, now);
    finished.ended(reply, now);
    // The hook may have released the connection.
    pooled_connection* remaining = find(reply->connection);
    if (remaining != nullptr && members_.at(member).idle.contains(remaining->number)) {
        hooks_.idle(member, now);
    }
}

void member_pool::on_closed(const member_connection_closed& closed, instant now)
{
    pooled_connection* pooled = find(closed->connection);
    if (pooled == nullptr) {
        return;
    }
    const std::string member = pooled->member;
    const instant opened_at = pooled->opened_at;
    const bool opening = pooled->state == program_->initial();
    auto exchanges = std::exchange(pooled->exchanges, {});
    auto lost = std::exchange(pooled->lost, nullptr);
    pooled_member& target = members_.at(member);
    for (const exchange& each : exchanges) {
        target.running -= each.counts_as_load ? 1 : 0;
    }
    if (std::any_of(exchanges.begin(), exchanges.end(), [](const exchange& each) { return each.counts_as_load; })) {
        observe_pace(target, pace_signal::unanswered, {}, now);
    }
    const member_reachability before = target.health.reachability();
    if (opening) {
        record_connect_failure(target, closed, opened_at, now);
    } else if (closed->end == connection_end_reason::silent && !exchanges.empty()) {
        target.health.unanswered(exchanges.front().sent_at);
    }
    fire(*pooled, event::ended, now);
    update_reachability(target, before, now);
    for (const exchange& each : exchanges) {
        each.ended(exchange_lost{.end = closed->end}, now);
    }
    if (exchanges.empty() && lost) {
        lost(now);
    }
}

/// Updates the member's state after a failed connection attempt.
void member_pool::record_connect_failure(pooled_member& target, const member_connection_closed& closed,
                                         instant opened_at, instant now)
{
    switch (closed->end) {
    case connection_end_reason::refused:
        target.health.refused(now);
        target.next_attempt = now + refused_pause;
        break;
    case connection_end_reason::rejected:
        target.health.answered(now);
        target.next_attempt = now + rejected_pause;
        if (closed->failure && (*closed->failure)->kind == error_kind::too_many_connections) {
            target.refused_at = now;
            ++target.refusals;
        } else if (closed->failure && (*closed->failure)->kind == error_kind::wrong_member) {
            target.next_attempt = now + wrong_member_pause;
        }
        break;
    case connection_end_reason::no_answer:
    case connection_end_reason::silent:
        target.health.unanswered(opened_at);
        target.next_attempt = now + timeout_pause;
        break;
    case connection_end_reason::reset:
    case connection_end_reason::protocol_error:
        target.next_attempt = now + rejected_pause;
        break;
    }
    hooks_.log(
        "member_connect_failed",
        "member=" + target.entry->id + " address=" + target.entry->address +
            " reason=" + connection_end_reason_name(closed->end) +
            (closed->failure ? " error=" + std::string(error_row_for((*closed->failure)->kind).name) : std::string{}));
}

} // namespace citronfall
