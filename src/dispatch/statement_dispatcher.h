#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "core/timer_queue.h"
#include "dispatch/placement.h"
#include "dispatch/statement_location.h"
#include "dispatch/statement_task.h"
#include "dispatch/wait_policy.h"
#include "leader/service_state.h"
#include "pool/exchange.h"
#include "pool/member_pool.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace citronfall {

/// Hooks of a dispatcher; all are called on the decision thread.
struct dispatcher_hooks {
    std::function<void(const task_request&, const task_outcome&, instant)> finished; ///< Called by report() only.
    std::function<service_state&(const std::string&)> service;
    std::function<void(const std::string& service, const std::string& member, const log_position&, instant sent_at,
                       instant now)>
        leadership_proved; ///< An answer proved that the member was still the leader after `sent_at`.
    std::function<void(const std::string& service, const std::string& member, instant now)> leadership_refused;
    std::function<void(connection_number, instant)> connection_lost; ///< A connection pinned to a session ended.
    std::function<std::uint64_t(std::uint64_t)> random;              ///< Returns a number below its argument.
    std::function<void(const std::string&, const std::string&)> log; ///< Name of the event, and its fields.
};

/// Runs statements on members: queues them, chooses a member, prepares the connection, sends them and decides whether
/// to make another attempt (chart `statement`).
///
/// A statement that may have run is sent again only if an interrupted attempt leaves no effect on the member. Not
/// thread-safe: owned by the decision thread.
class statement_dispatcher {
public:
    /// Error (bad_request): the chart does not match the bindings.
    [[nodiscard]] static result<std::unique_ptr<statement_dispatcher>> make(dispatcher_hooks hooks, member_pool& pool,
                                                                            std::string data_center);

    /// Accepts a statement. Unless it is cancelled, its outcome is passed to `finished` exactly once.
    task_number submit(const task_request& request, instant now);

    /// The caller no longer waits for the statement. A statement that was sent runs to its end, others are dropped.
    void cancel(task_number task, instant now);

    /// Tries to place the waiting statements of a service on members, and refuses those that are not worth queueing any
    /// longer.
    void place_waiting(const std::string& service, instant now);

    /// Ends statements that are past their deadline and tries to place the waiting ones of all services. Call it when
    /// next() is reached.
    void tick(instant now);

    /// Ends a statement as if its deadline had passed.
    void expire(task_number number, instant now);

    /// Calls `finished` for the statements that have ended. Must be called after each event; `finished` may submit more
    /// statements.
    void report(instant now);

    /// When tick() has to be called next; nothing if no statement is in progress.
    [[nodiscard]] std::optional<instant> next() const;

    /// Statements in progress, waiting ones included.
    [[nodiscard]] std::size_t size() const { return tasks_.size(); }

    /// Where an unanswered statement is; nothing if the statement is unknown or has ended.
    [[nodiscard]] std::optional<statement_location> locate(task_number task) const;

    /// Waiting statements of a service.
    [[nodiscard]] std::size_t waiting(const std::string& service) const;

private:
    enum class event : std::uint8_t {
        placed,
        prepared,
        begun,
        answered,
        refused,
        lost,
        expired,
        hopeless,
        cancelled,
    };
    struct context {
        statement_dispatcher& dispatcher;
        statement_task& task;
        const member_reply* reply = nullptr;
        instant now;
    };
    using queue_key = std::tuple<std::uint32_t, instant, task_number>; ///< Priority, deadline, task.

    statement_dispatcher(dispatcher_hooks hooks, member_pool& pool, std::string data_center)
        : hooks_(std::move(hooks)), pool_(pool), data_center_(std::move(data_center))
    {
    }

    result<done> bind();
    static chart_bindings<context> bindings();
    void fire(statement_task& task, event what, const member_reply* reply, instant now);
    void drop_finished();

    // Placement (statement_placement.cc).
    [[nodiscard]] bool needs_leader(const statement_task& task, instant now) const;
    [[nodiscard]] std::optional<min_read_position> min_position_of(const statement_task& task, instant now) const;
    bool try_place(statement_task& task, instant now);
    bool place_on_leader(statement_task& task, instant now);
    bool place_on_any(statement_task& task, const min_read_position& min_position, instant now);
    [[nodiscard]] std::vector<placement_candidate> candidates(const statement_task& task,
                                                              const min_read_position& min_position, instant now) const;
    void open_for(const statement_task& task, const std::vector<placement_candidate>& list, instant now);
    void start_attempt(statement_task& task, const std::string& member, connection_number connection, instant now);
    [[nodiscard]] wait_conditions wait_conditions_of(const statement_task& task, std::size_t queued_ahead,
                                                     instant now) const;
    [[nodiscard]] duration typical_latency(const std::string& service, instant now) const;

    // Attempts (statement_attempt.cc).
    [[nodiscard]] bool needs_setup(const statement_task& task) const;
    [[nodiscard]] static bool needs_begin(const statement_task& task);
    void send_setup(statement_task& task, instant now);
    void send_begin(statement_task& task, instant now);
    void send_statement(statement_task& task, instant now);
    [[nodiscard]] member_statement statement_for_member(const statement_task& task) const;
    exchange_hook answer_hook(task_number number, event success);
    void on_setup_answer(task_number number, const exchange_outcome& outcome, instant now);
    void on_answer(task_number number, event success, const exchange_outcome& outcome, instant now);
    void observe_reply(statement_task& task, const member_reply& reply, bool begin, instant now);
    void requeue(statement_task& task, const member_reply* reply, instant now);
    void deliver(statement_task& task, const member_reply& reply, instant now);
    void fail(statement_task& task, error_kind kind, std::string detail);
    void refuse_not_run(statement_task& task, instant now);
    void report_lost(statement_task& task);
    void release(statement_task& task, instant now);
    [[nodiscard]] static bool may_repeat(const statement_task& task);
    [[nodiscard]] static bool may_repeat_lost(const statement_task& task);

    dispatcher_hooks hooks_;
    member_pool& pool_;
    std::string data_center_;
    std::optional<chart_program<event, context>> program_;
    std::map<task_number, statement_task> tasks_;
    std::map<std::string, std::set<queue_key>> queues_; ///< Waiting tasks by service.
    timer_queue<task_number> deadlines_;
    instant last_tick_{};
    std::vector<task_number> finished_;                          ///< Erased by the next public call.
    std::deque<std::pair<task_request, task_outcome>> outcomes_; ///< Not yet passed to `finished`.
    task_number last_task_ = 0;
};

} // namespace citronfall
