#pragma once

#include "admission/arrival_rate_forecast.h"
#include "admission/concurrency_limit.h"
#include "admission/cost_estimates.h"
#include "admission/fair_queue.h"
#include "admission/refusal.h"
#include "admission/request_limits.h"
#include "citronfall/caller_request.h"
#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "citronfall/member_key.h"
#include "citronfall/operator_config.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>

namespace citronfall {

/// Access of admission control to the rest of the daemon.
struct admission_options {
    std::function<const operator_config&()> config;              ///< Returns the document in force.
    std::function<std::uint32_t(const member_key&)> connections; ///< Returns the usable connections to a member.
};

/// Decides which requests are admitted, in which order they reach a member, and how many run on the member
/// concurrently.
///
/// A request is admitted if it is expected to finish before its deadline. It waits in the fair queue of its member and
/// is dequeued when the concurrency limit of the member and the limit on long requests allow. Not thread-safe: owned by
/// the decision thread.
class admission_control {
public:
    explicit admission_control(admission_options options) : options_(std::move(options)) {}

    /// Admits a request that would wait for the member, or returns why it is refused. Precondition: tenant and class
    /// are declared.
    [[nodiscard]] std::optional<refusal> admit(const caller_request& request, const member_key& member, instant now);

    /// Adds a request to the queue of a member. Also used when the request is retried on another member.
    void enqueue(const caller_request& request, const member_key& member, instant now);

    /// Removes a request from the queue that it waits in, if any.
    void withdraw(request_handle handle);

    /// Number of waiting requests that may start on the member now.
    [[nodiscard]] std::size_t ready(const member_key& member, instant now) const;

    /// Dequeues the next request for the member and counts it as running. Requests that can no longer finish in time
    /// are skipped; they end at their deadline.
    [[nodiscard]] std::optional<request_handle> take(const member_key& member, instant now);

    /// The request has ended on the member, or its connection was given up. Does nothing if the request is not running.
    void finished(request_handle handle, instant now);

    /// The request has been answered. Does nothing if the request is unknown.
    void ended(request_handle handle, instant now);

    /// Number of requests that wait for the member.
    [[nodiscard]] std::size_t waiting(const member_key& member) const;

    /// Number of requests that wait for any member.
    [[nodiscard]] std::size_t waiting() const { return waiting_; }

    /// Number of requests that are running on the member.
    [[nodiscard]] std::size_t running(const member_key& member) const;

    /// Limit on the requests that run on the member concurrently, as far as there are connections.
    [[nodiscard]] std::uint32_t concurrency(const member_key& member) const;

    /// The same limit without regard to the number of connections.
    [[nodiscard]] std::uint32_t target_concurrency(const member_key& member) const;

    /// Number of connections to have open for the arrivals expected next. Opening them in advance saves a load peak the
    /// connection setup time.
    [[nodiscard]] std::uint32_t expected_connections(const member_key& member, instant now);

    /// Expected time in the queue for a new request of the class.
    [[nodiscard]] duration expected_wait(const class_key& key, const member_key& member) const;

    /// Mean running time of a short request of the class; a default until one is measured.
    [[nodiscard]] duration expected_service_time(const class_key& key) const { return costs_.expected(key, false); }

private:
    struct running_request {
        queued_request work;
        instant since;
    };

    struct member_state {
        fair_queue queue;
        std::map<request_handle, running_request> running;
        std::optional<concurrency_limit> limit;
        arrival_rate_forecast arrivals;
        std::size_t capacity = std::numeric_limits<std::size_t>::max(); ///< Concurrency while work was queued last.
    };

    struct tracked_request {
        class_key key;
        member_key member;
        bool waiting = false;
        bool counted = false; ///< The request counts against the limits of its tenant and class.
    };

    [[nodiscard]] std::uint32_t capacity(const member_key& member) const;
    [[nodiscard]] queued_request queued_request_of(const caller_request& request, instant now) const;
    [[nodiscard]] std::uint32_t slots(const member_key& member) const;
    [[nodiscard]] bool is_long(const queued_request& work) const;
    [[nodiscard]] std::size_t long_running(const member_state& state, instant now) const;
    [[nodiscard]] std::size_t short_waiting(const member_state& state) const;
    [[nodiscard]] std::size_t max_long_running(const member_key& member, bool short_waits) const;
    [[nodiscard]] duration wait_for(const queued_request& work, const member_key& member) const;

    admission_options options_;
    std::map<member_key, member_state> members_;
    std::map<request_handle, tracked_request> requests_;
    cost_estimates costs_;
    request_limits limits_;
    std::size_t waiting_ = 0;
};

} // namespace citronfall
