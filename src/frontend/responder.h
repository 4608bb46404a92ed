#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "core/timer_queue.h"
#include "frontend/responder_message.h"
#include "metrics/metrics_registry.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace citronfall {

/// Timeouts of a responder.
struct responder_options {
    duration receive_timeout = std::chrono::seconds(5);     ///< For a caller to send a complete request.
    duration keep_alive_timeout = std::chrono::seconds(60); ///< For the next request on an idle connection.
    duration write_timeout = std::chrono::seconds(5);       ///< For a caller to read the last answer.
    duration linger = std::chrono::seconds(1);              ///< For a caller to close after the daemon has shut down.
};

/// Sends answers to callers in the order of the requests on each connection, and closes connections.
///
/// Each connection is in a state of the chart `caller_connection`. Pistache cannot be relied on here: it sends answers
/// in the order in which they complete, which breaks pipelining; it leaves connections open after `Connection: Close`;
/// and its timeouts also apply to requests that are being executed. Not thread-safe: owned by the responder thread.
class responder {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<responder> make(responder_options options);

    /// Handles one message.
    void handle(responder_message message, instant now);

    /// Handles the timers that are due at `now`.
    void tick(instant now);

    /// Time of the next required tick().
    [[nodiscard]] std::optional<instant> next() const { return timers_.next(); }

    /// Number of unanswered requests.
    [[nodiscard]] std::size_t pending() const { return request_connections_.size(); }

    /// Whether finish_replies was received and either all replies are written or its limit has passed.
    [[nodiscard]] bool finished(instant now) const;

private:
    enum class connection_event { request, partial, answered, settled, rejected, expired, disconnected };

    struct pending_request {
        request_handle handle = 0;
        std::function<send_progress(const http_reply&)> send;
        std::optional<http_reply> reply;
    };

    struct connection_state {
        opened_connection hooks;
        state_id state{};
        std::deque<pending_request> queue;
        std::size_t unsent = 0; ///< Replies that Pistache has not written yet.
        bool partial = false;
        bool close_wanted = false;
        instant expires = instant::max();              ///< Due time of the current state's timer.
        std::optional<instant> queued;                 ///< Earliest entry of the timer queue for this connection.
        std::optional<send_progress> timeout_progress; ///< Of the timeout reply that the current step has sent.
    };

    struct step_context {
        responder& owner;
        connection_state& caller;
        pending_request* request = nullptr; ///< Set for a `request` event.
        instant now;
    };

    using program = chart_program<connection_event, step_context>;

    responder(responder_options options, program states);
    [[nodiscard]] static chart_bindings<step_context> bindings();
    void apply(opened_connection message, instant now);
    void apply(const partial_request& message, instant now);
    void apply(opened_request message, instant now);
    void apply(const immediate_reply& message, instant now);
    void apply(const sent_reply& message, instant now);
    void apply(const closed_connection& message, instant now);
    void apply(const decision_answer& message, instant now);
    void apply(const finish_replies& message, instant now);
    void complete(request_handle handle, http_reply reply, instant now);
    void flush(caller_connection connection, instant now);
    void record_progress(connection_state& caller, send_progress progress, instant now);
    void fire(caller_connection connection, connection_event event, instant now, pending_request* request = nullptr);
    void arm(connection_state& caller, instant due);
    void forget(connection_state& caller);
    [[nodiscard]] metrics_report with_counters(const metrics_report& report) const;

    responder_options options_;
    program program_;
    std::map<caller_connection, connection_state> connections_;
    std::map<request_handle, caller_connection> request_connections_;
    std::size_t unsent_ = 0;
    timer_queue<caller_connection> timers_;
    metrics_registry metrics_;
    std::optional<instant> finish_deadline_;
};

} // namespace citronfall
