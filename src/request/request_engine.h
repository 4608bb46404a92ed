#pragma once

#include "admission/refusal.h"
#include "citronfall/caller_answer.h"
#include "citronfall/caller_request.h"
#include "citronfall/chart_program.h"
#include "citronfall/class_config.h"
#include "citronfall/group_view.h"
#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "citronfall/member_key.h"
#include "citronfall/result.h"
#include "citronfall/upstream_command.h"
#include "citronfall/upstream_event.h"
#include "core/timer_queue.h"
#include "request/retry_budget.h"
#include "router/read_requirement.h"
#include "router/route_decision.h"
#include "router/router.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronfall {

/// Hooks through which a request engine uses the rest of the daemon.
struct request_engine_options {
    router* routes = nullptr;                                        ///< Must not be null and must outlive the engine.
    std::function<const group_view&(const std::string& group)> view; ///< Latest statuses of a group's members.
    /// Admission control for a new request to a member. Returns the refusal, or nothing if the request is admitted.
    std::function<std::optional<refusal>(const caller_request&, const member_key&, instant)> admit;
    /// Adds a request to the member's queue.
    std::function<void(const caller_request&, const member_key&, instant)> enqueue;
    std::function<void(request_handle)> withdraw;                 ///< Removes a request from its queue.
    std::function<std::size_t(const member_key&, instant)> ready; ///< Number of queued requests that may run now.
    /// Dequeues the next request to run.
    std::function<std::optional<request_handle>(const member_key&, instant)> take;
    std::function<void(request_handle, instant)> exchange_ended; ///< The request no longer occupies the member.
    std::function<void(request_handle, instant)> request_ended;  ///< The request has been answered.
    /// Takes an idle connection from the pool.
    std::function<std::optional<connection_number>(const member_key&)> acquire;
    /// Opens connections for the requests that wait.
    std::function<void(const member_key&, std::size_t waiting, instant)> ensure_connections;
    std::function<void(connection_number)> release; ///< Returns a connection to the pool after a complete answer.
    std::function<void(connection_number)> discard; ///< Closes a connection; ignores one that no longer exists.
    /// Polls the group's members for their status at once.
    std::function<void(const std::string& group, instant)> poll_group_status;
    /// Records the log position in a member's answer.
    std::function<void(const member_key&, const member_answer&)> observe_position;
    std::function<std::uint64_t()> next_number;        ///< Returns an exchange number that has never been used.
    std::function<void(const upstream_command&)> send; ///< Passes a call to the upstream thread.
    std::function<void(const caller_answer&)> answer;  ///< Passes an answer to the responder.
    std::function<std::uint64_t()> random;             ///< Uniform 64-bit numbers, for jitter.
    std::function<std::uint32_t()> retry_percent;      ///< Retry limit as a percentage of recent requests.
};

/// Routes each caller's request to a member, retries it where that is safe, and answers it once the outcome is proved.
/// Each request is an instance of the state chart `request`.
///
/// Not thread-safe: owned by the decision thread.
class request_engine {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<request_engine> make(request_engine_options options);

    /// Starts a request. Preconditions: its tenant, class and group are configured, and its handle is new.
    void start(const caller_request& request, const class_config& config, instant now);

    /// Sends the commit of an open transaction on the connection of the transaction, and treats it like a write from
    /// then on. The engine takes over the connection: it releases it after a complete answer and discards it otherwise.
    /// Preconditions: the handle is new, the operation is commit, and the request has an id.
    void start_commit(const caller_request& request, const class_config& config, const member_key& member,
                      connection_number connection, instant now);

    /// Handles the end of an exchange. Ignores exchanges that the engine has given up.
    void apply(const upstream_event& event, instant now);

    /// Assigns idle connections to the member to the requests that wait for one.
    void serve_waiting(const member_key& member, instant now);

    /// Re-evaluates the group's requests that wait for new member statuses, and all of its requests if the term or the
    /// primary changed.
    void evidence_changed(const std::string& group, instant now);

    /// Re-evaluates the routes of all requests after a change of the configuration.
    void routes_changed(instant now);

    /// Reroutes the requests that wait for a connection to the member, because none can be opened.
    void member_unreachable(const member_key& member, instant now);

    /// Fails the engine's exchange on the connection, if it has one there, with an unknown effect.
    void connection_lost(connection_number connection, instant now);

    /// Runs the timers that are due.
    void tick(instant now);

    /// When tick() must be called next, if a timer is armed.
    [[nodiscard]] std::optional<instant> next() const { return timers_.next(); }

    /// Number of requests that have not been answered.
    [[nodiscard]] std::size_t in_progress() const { return requests_.size(); }

private:
    enum class request_event {
        start,
        start_commit,
        member_found,
        must_wait,
        connection_ready,
        member_unreachable,
        run,
        refused_by_database,
        cancelled,
        nothing_run,
        call_unsent,
        call_lost,
        evidence_changed,
        route_changed,
        pause_over,
        deadline_passed,
    };

    struct request_state {
        caller_request request;
        class_config config;
        read_requirement requirement{};
        state_id state{};
        std::optional<member_key> member{};
        connection_number connection = 0;
        exchange_number exchange = 0;
        std::uint32_t member_bit = 0;
        std::optional<refusal> refused{}; ///< Set if admission control refused the request.
        bool to_primary = false;          ///< The member was primary in the newest term when it was chosen.
        bool counted_in_load = false;     ///< Counted in the load that the router keeps for the member.
        bool awaits_evidence = false;     ///< Listed in evidence_waiters_.
        bool verify_term = false; ///< The answer counts only if statuses requested after the call confirm the term.
        bool in_doubt = false;    ///< A call was sent whose effect is unknown.
        read_progress progress{};
        std::uint32_t retries = 0;
        std::uint32_t pauses = 0; ///< Number of the latest pause; timers of earlier pauses are ignored.
        duration pause{};
        term_number call_term = 0;
        instant sent_at{};
        member_answer answer{};
        std::optional<error_kind> nothing_run{}; ///< Why the latest call had no effect.
        evidence_kind evidence = evidence_kind::none;
    };

    struct step_context {
        request_engine& engine;
        request_state& subject;
        instant now;
        std::optional<request_event> follow_up{}; ///< Fired on the same request after the transition.
    };

    struct request_timer {
        request_handle handle = 0;
        request_event event = request_event::deadline_passed;
        std::uint32_t pause = 0; ///< For pause_over: request_state::pauses at the time of arming.
    };

    using program = chart_program<request_event, step_context>;

    request_engine(request_engine_options options, program states);
    [[nodiscard]] static chart_bindings<step_context> bindings();
    [[nodiscard]] static std::map<std::string, std::function<bool(const step_context&)>> guards();
    [[nodiscard]] static std::map<std::string, std::function<void(step_context&)>> actions();
    [[nodiscard]] static std::map<std::string, std::function<void(step_context&)>> answer_actions();
    void add(const caller_request& request, const class_config& config, instant now);
    void fire(request_handle handle, request_event event, instant now);
    void fire_answer(request_handle handle, const member_answer& answer, instant now);
    void run_deferred(instant now);
    [[nodiscard]] bool evidence_sufficient(const request_state& subject) const;
    [[nodiscard]] bool position_lost(const request_state& subject) const;
    [[nodiscard]] bool retry_allowed(const request_state& subject, instant now) const;
    [[nodiscard]] bool member_suitable(const request_state& subject) const;
    [[nodiscard]] route_decision find_route(const request_state& subject, instant now) const;
    static void route(step_context& step);
    static void route_resolve(step_context& step);
    static void apply_route(step_context& step, const route_decision& decision);
    void arm(request_state& subject, const std::string& timer, instant now);
    void join_queue(request_state& subject, instant now);
    void join_resolves(request_state& subject);
    void leave_queue(request_state& subject, instant now);
    void detach_from_member(request_state& subject, instant now);
    void assign_connections(const member_key& member, instant now);
    void send(request_state& subject, member_call call, instant now);
    void send_statement(request_state& subject, instant now);
    void send_resolve(request_state& subject, instant now);
    void await_evidence(request_state& subject, bool poll_group);
    void plan_retry(request_state& subject, instant now);
    void answer_done(const request_state& subject);
    void answer_failure(const request_state& subject, error_kind kind, const std::string& detail,
                        std::optional<duration> retry_after = std::nullopt);

    request_engine_options options_;
    program program_;
    retry_budget budget_;
    std::map<request_handle, request_state> requests_;
    /// Requests that wait for a connection to resolve their outcome.
    std::map<member_key, std::deque<request_handle>> resolve_queues_;
    std::map<exchange_number, request_handle> exchanges_;
    /// By group: requests that wait for new member statuses.
    std::map<std::string, std::vector<request_handle>> evidence_waiters_;
    /// By group: the term and primary last seen.
    std::map<std::string, std::pair<term_number, std::optional<std::string>>> last_primaries_;
    /// Members whose queue or idle connections have changed since the last run_deferred().
    std::set<member_key> members_to_serve_;
    std::set<std::string> groups_to_poll_; ///< Groups to poll at the end of this step.
    timer_queue<request_timer> timers_;
};

} // namespace citronfall
