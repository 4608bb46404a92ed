#pragma once

#include "support/history_checker.h"
#include "support/virtual_deployment.h"

#include <string>
#include <vector>

namespace citronfall::testing {

/// Workload of the virtual callers.
struct virtual_callers_options {
    std::size_t callers = 5;
    std::size_t keys = 60;                                ///< Number of keys that callers try to book.
    duration think_time = std::chrono::milliseconds(60);  ///< Mean time between an answer and the next request.
    duration deadline = std::chrono::milliseconds(1'000); ///< Of each request.
    duration latency = std::chrono::milliseconds(1);      ///< Mean one-way latency between callers and daemons.
    bool drafts = false;                                  ///< Bookings need only the primary's confirmation.
    bool transactions = false;                            ///< Some bookings are transactions over a pair of keys.
    bool stale_reads = true;                              ///< Some reads accept stale data.
};

/// Simulated callers that book and read keys through random daemons. After an unknown outcome they retry with the same
/// request id.
class virtual_callers {
public:
    virtual_callers(virtual_deployment& deployment, virtual_callers_options options)
        : deployment_(deployment), options_(options)
    {
    }

    /// Starts all callers; they send no new requests after `end`.
    void start(instant end);

    /// All requests of the callers with their answers, in the order in which they were sent.
    [[nodiscard]] const std::vector<recorded_operation>& history() const { return history_; }

    /// The group's final log, which is that of the newest primary.
    [[nodiscard]] static std::vector<final_entry> final_log(const virtual_deployment& deployment);

    /// Violations in the history so far, checked against the group's current log.
    [[nodiscard]] std::vector<std::string> check() const
    {
        return history_checker::check(history_, final_log(deployment_));
    }

    /// Times at which bookings were confirmed, in order.
    [[nodiscard]] std::vector<instant> confirmations() const;

private:
    struct caller_state {
        session_token session;
        std::vector<std::string> seen_keys; ///< Keys that the caller has booked or read.
        std::string unresolved_id;          ///< Id of a request whose outcome is unknown; it is retried next.
        std::string unresolved_key;
    };

    /// Receives the answer, or nothing if none arrived within 500 ms after the deadline.
    using answer_hook = std::function<void(const std::optional<caller_answer>&)>;

    void call(const std::string& daemon, const caller_request_fields& request, const answer_hook& answered_hook);
    void send_next(std::size_t caller, instant end);
    void run_transaction(std::size_t caller, instant end);
    void continue_transaction(std::size_t index, const std::string& daemon, const std::string& transaction,
                              std::size_t step, const std::function<void()>& ended);
    void send(std::size_t caller, recorded_operation operation, instant end);
    void answered(std::size_t caller, std::size_t operation, const caller_answer& answer);
    [[nodiscard]] std::string pick_daemon();

    virtual_deployment& deployment_;
    virtual_callers_options options_;
    std::vector<caller_state> callers_;
    std::vector<recorded_operation> history_;
    std::uint64_t last_id_ = 0;
};

} // namespace citronfall::testing
