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
    auto connection_chart = chart::make_embedded("caller_connection");
    if (!ok(connection_chart)) {
        return error_of(connection_chart);
    }
    auto states = program::make(take(std::move(connection_chart)), bindings());
    if (!ok(states)) {
        return error_of(states);
    }
    return responder{options, take(std::move(states))};
}

responder::responder(responder_options options, program states) : options_(options), program_(std::move(states)) {}

chart_bindings<responder::step_context> responder::bindings()
{
    using step = step_context;
    const auto shut_down = [](shutdown_extent extent) {
        return [extent](step& each) {
            each.caller.hooks.shut_down(extent);
        };
    };
    return {.events = {"request", "partial", "answered", "settled", "rejected", "expired", "disconnected"},
            .guards = {{"has_requests",
                        [](const step& each) {
                            return !each.caller.queue.empty();
                        }},
                       {"close_wanted",
                        [](const step& each) {
                            return each.caller.close_wanted;
                        }},
                       {"has_partial",
                        [](const step& each) {
                            return each.caller.partial;
                        }},
                       {"has_unsent",
                        [](const step& each) {
                            return each.caller.unsent > 0;
                        }}},
            .actions = {{"queue_request",
                         [](step& each) {
                             each.caller.partial = false;
                             each.owner.request_connections_.emplace(each.request->handle,
                                                                     each.caller.hooks.connection);
                             each.caller.queue.push_back(std::move(*each.request));
                         }},
                        {"note_partial",
                         [](step& each) {
                             each.caller.partial = true;
                         }},
                        {"count_slow_sender",
                         [](step& each) {
                             each.owner.metrics_.count("front_end_slow_senders_total");
                         }},
                        {"send_timeout",
                         [](step& each) {
                             each.caller.timeout_progress = each.caller.hooks.send_timeout(timeout_reply());
                         }},
                        {"count_rejected",
                         [](step& each) {
                             each.owner.metrics_.count("front_end_rejected_sends_total");
                         }},
                        {"shut_write", shut_down(shutdown_extent::write)},
                        {"shut_both", shut_down(shutdown_extent::both)},
                        {"forget",
                         [](step& each) {
                             each.owner.forget(each.caller);
                         }}},
            .arm_timer = [](step& each, const chart_timer& timer) {
                const responder_options& bounds = each.owner.options_;
                const duration wait = timer->timer == "keep_alive" ? bounds.keep_alive_timeout
                                      : timer->timer == "receive"  ? bounds.receive_timeout
                                      : timer->timer == "write"    ? bounds.write_timeout
                                                                   : bounds.linger;
                each.owner.arm(each.caller, each.now + wait);
            }};
}

void responder::handle(responder_message message, instant now)
{
    std::visit([this, now](auto& each) { apply(std::move(each), now); }, message);
}

void responder::tick(instant now)
{
    if (finish_deadline_ && *finish_deadline_ <= now) {
        // Pistache's shutdown busy-waits until all queued answers are written; a caller that does not read stalls it.
        for (const auto& [number, caller] : connections_) {
            if (caller.unsent > 0) {
                caller.hooks.shut_down(shutdown_extent::both);
            }
        }
    }
    while (const auto connection = timers_.pop_due(now)) {
        const auto found = connections_.find(*connection);
        if (found == connections_.end()) {
            continue;
        }
        connection_state& caller = found->second;
        caller.queued.reset();
        if (caller.expires > now) {
            if (caller.expires != instant::max()) {
                arm(caller, caller.expires); // The entry belongs to an earlier state; the current timer is due later.
            }
            continue;
        }
        caller.expires = instant::max();
        fire(*connection, connection_event::expired, now);
        if (const auto progress = std::exchange(caller.timeout_progress, std::nullopt)) {
            record_progress(caller, *progress, now);
        }
    }
}

bool responder::finished(instant now) const
{
    return finish_deadline_ && ((request_connections_.empty() && unsent_ == 0) || *finish_deadline_ <= now);
}

void responder::apply(opened_connection message, instant now)
{
    const caller_connection number = message.connection;
    auto& caller = connections_[number];
    caller.hooks = std::move(message);
    step_context step{.owner = *this, .caller = caller, .request = nullptr, .now = now};
    caller.state = program_.start(step);
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
    finish_deadline_ = message.limit;
}

void responder::complete(request_handle handle, http_reply reply, instant now)
{
    const auto owner = request_connections_.find(handle);
    if (owner == request_connections_.end()) {
        return; // The caller has disconnected.
    }
    const caller_connection connection = owner->second;
    connection_state& caller = connections_.at(connection);
    const auto waiting = std::find_if(caller.queue.begin(), caller.queue.end(),
                                      [handle](const pending_request& each) { return each.handle == handle; });
    caller.close_wanted = caller.close_wanted || reply->headers.contains("connection");
    waiting->reply = std::move(reply);
    flush(connection, now);
}

void responder::flush(caller_connection connection, instant now)
{
    connection_state& caller = connections_.at(connection);
    while (!caller.queue.empty() && caller.queue.front().reply) {
        const pending_request front = std::move(caller.queue.front());
        caller.queue.pop_front();
        request_connections_.erase(front.handle);
        // Only the last answer may carry `Connection: close`, because a caller reads no further answer after it.
        const bool closes = caller.close_wanted && caller.queue.empty();
        const auto progress = front.send(with(*front.reply, [closes](http_reply_fields& fields) {
            fields.headers["connection"] = closes ? "close" : "keep-alive";
        }));
        fire(connection, connection_event::answered, now);
        record_progress(caller, progress, now);
        if (progress == send_progress::rejected) {
            return;
        }
    }
}

void responder::record_progress(connection_state& caller, send_progress progress, instant now)
{
    switch (progress) {
    case send_progress::pending:
        ++caller.unsent;
        ++unsent_;
        return;
    case send_progress::delivered:
        fire(caller.hooks.connection, connection_event::settled, now);
        return;
    case send_progress::rejected:
        fire(caller.hooks.connection, connection_event::rejected, now);
        return;
    }
}

void responder::fire(caller_connection connection, connection_event event, instant now, pending_request* request)
{
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    step_context step{.owner = *this, .caller = found->second, .request = request, .now = now};
    found->second.state = program_.fire(found->second.state, event, step).state;
    if (program_.is_final(found->second.state)) {
        connections_.erase(found);
    }
}

void responder::arm(connection_state& caller, instant due)
{
    caller.expires = due;
    // At most one queue entry per connection: at thousands of requests per second, an entry for each idle period would
    // flood the queue.
    if (!caller.queued || due < *caller.queued) {
        timers_.arm(due, caller.hooks.connection);
        caller.queued = due;
    }
}

void responder::forget(connection_state& caller)
{
    for (const pending_request& each : caller.queue) {
        request_connections_.erase(each.handle);
    }
    unsent_ -= caller.unsent;
}

metrics_report responder::with_counters(const metrics_report& report) const
{
    const metrics_report own = metrics_.report(report->handle);
    return with(report, [&own](metrics_report_fields& fields) {
        fields.counters.insert(own->counters.begin(), own->counters.end());
    });
}

} // namespace citronfall
