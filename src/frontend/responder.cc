#include "frontend/responder.h"

#include "citronfall/error_table.h"
#include "frontend/caller_codec.h"

#include <algorithm>
#include <string>
#include <utility>

namespace citronfall {
namespace {

/// The reply to a request that did not arrive completely within the receive timeout.
http_reply timeout_reply()
{
    const caller_answer answer{
        {.failure = error_kind::bad_request, .detail = "the request did not arrive completely in time"}};
    return with(caller_codec::encode(answer), [](http_reply_fields& fields) {
        fields.status = 408;
        fields.headers["connection"] = "close";
    });
}

} // namespace

result<responder> responder::make(responder_options options)
{
    auto subject = chart::make_embedded("caller_connection");
    if (!ok(subject)) {
        return error_of(subject);
    }
    auto states = program::make(take(std::move(subject)), bindings());
    if (!ok(states)) {
        return error_of(states);
    }
    return responder{options, take(std::move(states))};
}

responder::responder(responder_options options, program states) : options_(options), program_(std::move(states)) {}

chart_bindings<responder::step_context> responder::bindings()
{
    using step = step_context;
    const auto shut = [](shutdown_extent extent) {
        return [extent](step& each) {
            each.subject.hooks.shut(extent);
        };
    };
    return {.events = {"request", "partial", "answered", "settled", "rejected", "expired", "disconnected"},
            .guards = {{"has_requests",
                        [](const step& each) {
                            return !each.subject.queue.empty();
                        }},
                       {"close_wanted",
                        [](const step& each) {
                            return each.subject.close_wanted;
                        }},
                       {"has_partial",
                        [](const step& each) {
                            return each.subject.partial;
                        }},
                       {"has_unsent",
                        [](const step& each) {
                            return each.subject.unsent > 0;
                        }}},
            .actions = {{"queue_request",
                         [](step& each) {
                             each.subject.partial = false;
                             each.owner.owners_.emplace(each.request->handle, each.subject.hooks.connection);
                             each.subject.queue.push_back(std::move(*each.request));
                         }},
                        {"note_partial",
                         [](step& each) {
                             each.subject.partial = true;
                         }},
                        {"count_slow_sender",
                         [](step& each) {
                             each.owner.metrics_.count("front_end_slow_senders_total");
                         }},
                        {"send_timeout",
                         [](step& each) {
                             each.subject.timeout_progress = each.subject.hooks.send_timeout(timeout_reply());
                         }},
                        {"count_rejected",
                         [](step& each) {
                             each.owner.metrics_.count("front_end_rejected_sends_total");
                         }},
                        {"shut_write", shut(shutdown_extent::write)},
                        {"shut_both", shut(shutdown_extent::both)},
                        {"forget",
                         [](step& each) {
                             each.owner.forget(each.subject);
                         }}},
            .arm_timer = [](step& each, const chart_timer& timer) {
                const responder_options& bounds = each.owner.options_;
                const duration wait = timer->timer == "keep_alive" ? bounds.keep_alive_timeout
                                      : timer->timer == "receive"  ? bounds.receive_timeout
                                      : timer->timer == "write"    ? bounds.write_timeout
                                                                   : bounds.linger;
                each.owner.arm(each.subject, each.now + wait);
            }};
}

void responder::handle(responder_message message, instant now)
{
    std::visit([this, now](auto& each) { apply(std::move(each), now); }, message);
}

void responder::tick(instant now)
{
    if (finish_limit_ && *finish_limit_ <= now) {
        // Pistache's shutdown busy-waits until all queued answers are written; a caller that does not read stalls it.
        for (const auto& [number, subject] : connections_) {
            if (subject.unsent > 0) {
                subject.hooks.shut(shutdown_extent::both);
            }
        }
    }
    while (const auto connection = timers_.pop_due(now)) {
        const auto found = connections_.find(*connection);
        if (found == connections_.end()) {
            continue;
        }
        connection_state& subject = found->second;
        subject.queued.reset();
        if (subject.expires > now) {
            if (subject.expires != instant::max()) {
                arm(subject, subject.expires); // The entry belongs to an earlier state; the current timer is due later.
            }
            continue;
        }
        subject.expires = instant::max();
        fire(*connection, connection_event::expired, now);
        if (const auto progress = std::exchange(subject.timeout_progress, std::nullopt)) {
            track(subject, *progress, now);
        }
    }
}

bool responder::finished(instant now) const
{
    return finish_limit_ && ((owners_.empty() && unsent_ == 0) || *finish_limit_ <= now);
}

void responder::apply(opened_connection message, instant now)
{
    const caller_connection number = message.connection;
    auto& subject = connections_[number];
    subject.hooks = std::move(message);
    step_context step{.owner = *this, .subject = subject, .request = nullptr, .now = now};
    subject.state = program_.start(step);
}

void responder::apply(const partial_request& message, instant now)
{
    fire(message.connection, connection_event::partial, now);
}

void responder::apply(opened_request message, instant now)
{
    const auto found = connections_.find(message.connection);
    if (found == connections_.end()) {
        return;
    }
    found->second.close_wanted = found->second.close_wanted || message.last;
    pending_request request{.handle = message.handle, .send = std::move(message.send), .reply = std::nullopt};
    fire(message.connection, connection_event::request, now, &request);
}

void responder::apply(const immediate_reply& message, instant now)
{
    metrics_.count("front_end_refused_total{kind=\"" + std::string(error_row_for(message.kind).name) + "\"}");
    complete(message.handle, message.reply, now);
}

void responder::apply(const sent_reply& message, instant now)
{
    const auto found = connections_.find(message.connection);
    if (found == connections_.end() || found->second.unsent == 0) {
        return;
    }
    --found->second.unsent;
    --unsent_;
    fire(message.connection, message.delivered ? connection_event::settled : connection_event::rejected, now);
}

void responder::apply(const closed_connection& message, instant now)
{
    const auto found = connections_.find(message.connection);
    if (found != connections_.end() && found->second.unsent + found->second.queue.size() > 0) {
        metrics_.count("front_end_callers_lost_total");
    }
    fire(message.connection, connection_event::disconnected, now);
}

void responder::apply(const decision_answer& message, instant now)
{
    if (const auto* report = std::get_if<metrics_report>(&message)) {
        complete((*report)->handle, caller_codec::encode(with_counters(*report)), now);
        return;
    }
    std::visit([&](const auto& answer) { complete(answer->handle, caller_codec::encode(answer), now); }, message);
}

void responder::apply(const finish_replies& message, instant)
{
    finish_limit_ = message.limit;
}

void responder::complete(request_handle handle, http_reply reply, instant now)
{
    const auto owner = owners_.find(handle);
    if (owner == owners_.end()) {
        return; // The caller has disconnected.
    }
    const caller_connection connection = owner->second;
    connection_state& subject = connections_.at(connection);
    const auto waiting = std::find_if(subject.queue.begin(), subject.queue.end(),
                                      [handle](const pending_request& each) { return each.handle == handle; });
    subject.close_wanted = subject.close_wanted || reply->headers.contains("connection");
    waiting->reply = std::move(reply);
    flush(connection, now);
}

void responder::flush(caller_connection connection, instant now)
{
    connection_state& subject = connections_.at(connection);
    while (!subject.queue.empty() && subject.queue.front().reply) {
        const pending_request front = std::move(subject.queue.front());
        subject.queue.pop_front();
        owners_.erase(front.handle);
        // Only the last answer may carry `Connection: close`, because a caller reads no further answer after it.
        const bool closes = subject.close_wanted && subject.queue.empty();
        const auto progress = front.send(with(*front.reply, [closes](http_reply_fields& fields) {
            fields.headers["connection"] = closes ? "close" : "keep-alive";
        }));
        fire(connection, connection_event::answered, now);
        track(subject, progress, now);
        if (progress == send_progress::rejected) {
            return;
        }
    }
}

void responder::track(connection_state& subject, send_progress progress, instant now)
{
    switch (progress) {
    case send_progress::pending:
        ++subject.unsent;
        ++unsent_;
        return;
    case send_progress::delivered:
        fire(subject.hooks.connection, connection_event::settled, now);
        return;
    case send_progress::rejected:
        fire(subject.hooks.connection, connection_event::rejected, now);
        return;
    }
}

void responder::fire(caller_connection connection, connection_event event, instant now, pending_request* request)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    step_context step{.owner = *this, .subject = found->second, .request = request, .now = now};
    found->second.state = program_.fire(found->second.state, event, step).state;
    if (program_.is_final(found->second.state)) {
        connections_.erase(found);
    }
}

void responder::arm(connection_state& subject, instant due)
{
    subject.expires = due;
    // At most one queue entry per connection: at thousands of requests per second, an entry for each idle period would
    // flood the queue.
    if (!subject.queued || due < *subject.queued) {
        timers_.arm(due, subject.hooks.connection);
        subject.queued = due;
    }
}

void responder::forget(connection_state& subject)
{
    for (const pending_request& each : subject.queue) {
        owners_.erase(each.handle);
    }
    unsent_ -= subject.unsent;
}

metrics_report responder::with_counters(const metrics_report& report) const
{
    const metrics_report own = metrics_.report(report->handle);
    return with(report, [&own](metrics_report_fields& fields) {
        fields.counters.insert(own->counters.begin(), own->counters.end());
    });
}

} // namespace citronfall
