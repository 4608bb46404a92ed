#pragma once

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

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace citronfall {

/// Hooks and time limits of a transaction engine.
struct transaction_engine_options {
    std::function<const group_view&(const std::string& group)> view; ///< Latest statuses of a group's members.
    /// Takes an idle connection from the pool.
    std::function<std::optional<connection_number>(const member_key&)> acquire;
    /// Opens connections for the transactions that wait.
    std::function<void(const member_key&, std::size_t waiting, instant)> ensure_connections;
    std::function<void(connection_number)> release; ///< Returns a connection that has no open transaction.
    std::function<void(connection_number)> discard; ///< Closes a connection, which rolls back its transaction.
    std::function<std::uint64_t()> next_number;     ///< Returns an exchange number that has never been used.
    std::function<std::uint64_t()> secure_random;   ///< Unpredictable numbers, for transaction ids.
    std::function<void(const upstream_command&)> send;
    std::function<void(const caller_answer&)> answer;
    /// Sends a commit; takes over the connection of the transaction.
    std::function<void(const caller_request&, const class_config&, const member_key&, connection_number, instant)>
        commit;
    /// Answers a commit whose transaction is not open in this daemon; the commit may have been carried out before.
    std::function<void(const caller_request&, const class_config*, instant)> resolve_commit;
    duration idle_timeout = std::chrono::seconds(5);     ///< Maximum time between two requests of a transaction.
    duration rollback_timeout = std::chrono::seconds(1); ///< Timeout of a rollback call.
    duration ended_retention = std::chrono::seconds(10); ///< How long the reason why a transaction has ended is kept.
};

/// Runs the transactions of callers, each on a connection of its own to the primary. Each transaction is an instance of
/// the state chart `transaction`.
///
/// Requests name their transaction by its id only and may arrive on any connection of a caller. Not thread-safe: owned
/// by the decision thread.
class transaction_engine {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<transaction_engine> make(transaction_engine_options options);

    /// Begins a transaction. The deadline of the request is that of the whole transaction. Precondition: tenant, class
    /// and group of the request are configured.
    void begin(const caller_request& request, const class_config& config, instant now);

    /// Handles a statement, commit or rollback of a transaction.
    void handle(const caller_request& request, instant now);

    /// The request with tenant, class and group filled in from its transaction, if this daemon has the transaction.
    [[nodiscard]] caller_request scoped(const caller_request& request) const;

    /// Handles an event of a connection that a transaction holds.
    void apply(const upstream_event& event, instant now);

    /// Assigns idle connections to the member to the transactions that wait for one.
    void serve_waiting(const member_key& member, instant now);

    /// Ends the group's transactions that began in an earlier term than the current one.
    void evidence_changed(const std::string& group, instant now);

    /// Runs the timers that are due.
    void tick(instant now);

    /// When tick() must be called next, if a timer is armed.
    [[nodiscard]] std::optional<instant> next() const { return timers_.next(); }

    /// Whether a transaction holds the connection.
    [[nodiscard]] bool contains(connection_number connection) const { return connections_.contains(connection); }

    /// Number of transactions that wait for a connection or hold one.
    [[nodiscard]] std::size_t in_progress() const { return connections_.size() + waiting_count_; }

private:
    enum class transaction_event {
        start,
        connection_ready,
        ran,
        conflict,
        nothing_run,
        dropped,
        call_lost,
        statement,
        commit,
        rollback,
        term_changed,
        idle_expired,
        deadline_passed,
        forget_due,
    };

    struct transaction_state {
        std::string id;
        caller_request begin;
        class_config config;
        std::optional<member_key> member;
        term_number term = 0;
        state_id state{};
        std::optional<caller_request> current; ///< The request to be answered when the exchange ends.
        connection_number connection = 0;      ///< 0 if the transaction holds none.
        exchange_number exchange = 0;          ///< 0 if none is outstanding.
        member_answer reply{};
        std::uint64_t timer_number = 0; ///< Number of the latest state timer; earlier ones are ignored.
    };

    struct transaction_timer {
        std::string id;
        transaction_event event = transaction_event::deadline_passed;
        std::uint64_t number = 0; ///< 0 for the deadline of the transaction.
    };

    struct step_context {
        transaction_engine& engine;
        transaction_state& subject;
        const caller_request* request = nullptr; ///< For a statement, commit or rollback event.
        instant now;
    };

    using program = chart_program<transaction_event, step_context>;

    transaction_engine(transaction_engine_options options, program states);
    [[nodiscard]] static chart_bindings<step_context> bindings();
    [[nodiscard]] static std::map<std::string, std::function<void(step_context&)>> actions();
    static void arm(step_context& step, const chart_timer& timer);
    [[nodiscard]] std::string new_id() const;
    [[nodiscard]] static transaction_event event_of(member_verdict verdict);
    void fire(const std::string& id, transaction_event event, instant now, const caller_request* request = nullptr);
    void send(transaction_state& subject, member_operation operation, const caller_request* request, instant deadline);
    void detach_connection(transaction_state& subject);
    void answer(const caller_request& request, const transaction_state& subject);
    void fail(const caller_request& request, error_kind kind, const std::string& detail,
              const std::string& result = {});

    transaction_engine_options options_;
    program program_;
    std::map<std::string, transaction_state> transactions_;
    std::map<connection_number, std::string> connections_;
    std::map<member_key, std::deque<std::string>> waiting_;
    std::map<std::string, term_number> last_terms_; ///< Highest term seen, by group.
    std::size_t waiting_count_ = 0;
    std::uint64_t last_timer_ = 0;
    timer_queue<transaction_timer> timers_;
};

} // namespace citronfall
