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

/// What a request engine needs from the rest of the daemon.
struct request_engine_options {
    router* routes = nullptr;                                        ///< Outlives the engine; must not be null.
    std::function<const group_view&(const std::string& group)> view; ///< What is known of a group.
    /// Admits a new request to a member, or says why not.
    std::function<std::optional<refusal>(const caller_request&, const member_key&, instant)> admit;
    std::function<void(const caller_request&, const member_key&, instant)> enqueue; ///< Joins a queue.
    std::function<void(request_handle)> withdraw;                                   ///< Leaves the queue.
    std::function<std::size_t(const member_key&, instant)> ready;                   ///< May run now.
    std::function<std::optional<request_handle>(const member_key&, instant)> take;  ///< Next to run.
    std::function<void(request_handle, instant)> exchange_ended; ///< The member no longer runs the request.
    std::function<void(request_handle, instant)> request_ended;  ///< The request has been answered.
    std::function<std::optional<connection_number>(const member_key&)> acquire; ///< Takes an idle connection.
    std::function<void(const member_key&, std::size_t waiting, instant)> ensure_connections; ///< Asks for connections.
    std::function<void(connection_number)> release; ///< Returns it after a complete answer.
    std::function<void(connection_number)> discard; ///< Throws a connection away, if it exists.
    std::function<void(const std::string& group, instant)> request_evidence; ///< Asks for an evidence round.
    std::function<void(const member_key&, const member_answer&)>
        observe_position;                              ///< Takes a position that a member stated.
    std::function<std::uint64_t()> next_number;        ///< An exchange number never used before.
    std::function<void(const upstream_command&)> send; ///< Hands a call to the upstream thread.
    std::function<void(const caller_answer&)> answer;  ///< Hands an answer to the responder.
    std::function<std::uint64_t()> random;             ///< Uniform 64-bit numbers, for jitter.
    std::function<std::uint32_t()> retry_percent;      ///< Retries allowed in relation to recent requests.
};

/// Runs the requests of callers, each in a state of the chart `request`.
///
/// Not thread-safe: owned by the decision thread.
class request_engine {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<request_engine> make(request_engine_options options);

    /// Takes a request whose tenant, class and group are known. Precondition: its handle is new.
    void start(const caller_request& request, const class_config& rules, instant now);

    /// Sends the commit of an open transaction on its connection, which the caller has acquired, and treats it like a
    /// write from then on. The engine releases the connection after a complete answer and discards it otherwise.
    /// Preconditions: the handle is new, the operation is commit, and the request has an id.
    void start_commit(const caller_request& request, const class_config& rules, const member_key& member,
                      connection_number connection, instant now);

    /// Applies an event of a connection on which the engine has an exchange.
    void apply(const upstream_event& event, instant now);

    /// Gives idle connections to the member to the requests that wait for one.
    void serve_waiting(const member_key& member, instant now);

    /// Looks again at the requests of the group that wait for evidence, and at all of them if the primary changed.
    void evidence_changed(const std::string& group, instant now);

    /// Looks again at the routes of all requests, after a change of the document.
    void routes_changed(instant now);

    /// Sends the requests that wait for a connection to the member elsewhere, because none can be opened.
    void member_unreachable(const member_key& member, instant now);

    /// Treats the exchange on a connection that was closed on suspicion as lost, if the engine has one there.
    void connection_lost(connection_number connection, instant now);

    /// Delivers the timers that are due.
    void tick(instant now);

    /// When tick() is next needed.
    [[nodiscard]] std::optional<instant> next() const { return timers_.next(); }

    /// Number of requests that have no answer yet.
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
        class_config rules;
        read_requirement requirement{};
        state_id state{};
        std::optional<member_key> member{};
        connection_number connection = 0;
        exchange_number exchange = 0;
        std::uint32_t member_bit = 0;
        std::optional<refusal> refused{}; ///< By admission.
        bool to_primary = false;          ///< The member was the primary of the newest term when it was chosen.
        bool loaded = false;              ///< Counted in the member's load.
        bool watching = false;            ///< Listed in watching_.
        bool prove_fresh = false;         ///< The answer needs a round sent after the call.
        bool in_doubt = false;            ///< A call whose effect is not known has been sent.
        read_progress progress{};
        std::uint32_t retries = 0;
        std::uint32_t pauses = 0; ///< Number of the newest pause; older pause timers are void.
        duration pause{};
        term_number call_term = 0;
        instant sent_at{};
        member_answer answer{};
        std::optional<error_kind> nothing_run{}; ///< Why the newest call ran nothing.
        evidence_kind evidence = evidence_kind::none;
    };

    struct step_context {
        request_engine& engine;
        request_state& subject;
        instant now;
        std::optional<request_event> follow_up{}; ///< Delivered to the same request after the transition.
    };

    struct request_timer {
        request_handle handle = 0;
        request_event event = request_event::deadline_passed;
        std::uint32_t pause = 0; ///< Of pause_over: request_state::pauses.
    };

    using program = chart_program<request_event, step_context>;

    request_engine(request_engine_options options, program states);
    [[nodiscard]] static chart_bindings<step_context> bindings();
    [[nodiscard]] static std::map<std::string, std::function<bool(const step_context&)>> guards();
    [[nodiscard]] static std::map<std::string, std::function<void(step_context&)>> actions();
    [[nodiscard]] static std::map<std::string, std::function<void(step_context&)>> answer_actions();
    void add(const caller_request& request, const class_config& rules, instant now);
    void fire(request_handle handle, request_event event, instant now);
    void fire_answer(request_handle handle, const member_answer& answer, instant now);
    void settle(instant now);
    [[nodiscard]] bool evidence_sufficient(const request_state& subject) const;
    [[nodiscard]] bool position_lost(const request_state& subject) const;
    [[nodiscard]] bool retry_allowed(const request_state& subject, instant now) const;
    [[nodiscard]] bool member_suitable(const request_state& subject) const;
    [[nodiscard]] route_decision find_route(const request_state& subject, instant now) const;
    static void route(step_context& step);
    static void route_resolve(step_context& step);
    static void choose(step_context& step, const route_decision& decision);
    void arm(request_state& subject, const std::string& timer, instant now);
    void join_queue(request_state& subject, instant now);
    void join_resolves(request_state& subject);
    void leave_queue(request_state& subject, instant now);
    void leave_member(request_state& subject, instant now);
    void serve(const member_key& member, instant now);
    void send(request_state& subject, member_call call, instant now);
    void send_statement(request_state& subject, instant now);
    void send_resolve(request_state& subject, instant now);
    void watch(request_state& subject, bool at_once);
    void plan_retry(request_state& subject, instant now);
    void answer_done(const request_state& subject);
    void answer_failure(const request_state& subject, error_kind kind, const std::string& detail,
                        std::optional<duration> retry_after = std::nullopt);

    request_engine_options options_;
    program program_;
    retry_budget budget_;
    std::map<request_handle, request_state> requests_;
    std::map<member_key, std::deque<request_handle>> resolves_; ///< Requests that wait to ask for their outcome.
    std::map<exchange_number, request_handle> exchanges_;
    std::map<std::string, std::vector<request_handle>> watching_; ///< By group: requests that wait for evidence.
    std::map<std::string, std::pair<term_number, std::optional<std::string>>> primaries_; ///< As last seen, by group.
    std::set<member_key> to_serve_;         ///< Members whose queue or idle connections changed in this step.
    std::set<std::string> evidence_wanted_; ///< Groups for which this step asks for evidence.
    timer_queue<request_timer> timers_;
};

} // namespace citronfall
