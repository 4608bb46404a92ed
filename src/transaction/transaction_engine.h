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

/// What a transaction engine needs from the rest of the daemon.
struct transaction_engine_options {
    std::function<const group_view&(const std::string& group)> view;            ///< What is known of a group.
    std::function<std::optional<connection_number>(const member_key&)> acquire; ///< Takes an idle connection.
    std::function<void(const member_key&, std::size_t waiting, instant)> ensure_connections; ///< Asks for connections.
    std::function<void(connection_number)> release; ///< Returns a connection without an open transaction.
    std::function<void(connection_number)> discard; ///< Throws a connection away, which rolls back.
    std::function<std::uint64_t()> next_number;     ///< An exchange number never used before.
    std::function<std::uint64_t()> secure_random;   ///< Numbers that nobody can predict, for transaction ids.
    std::function<void(const upstream_command&)> send;
    std::function<void(const caller_answer&)> answer;
    /// Takes over a commit together with the connection.
    std::function<void(const caller_request&, const class_config&, const member_key&, connection_number, instant)>
        commit;
    /// Answers a commit whose transaction is not open here; it may have been carried out before.
    std::function<void(const caller_request&, const class_config*, instant)> resolve_commit;
    duration idle_bound = std::chrono::seconds(5);     ///< Between two requests of a transaction.
    duration rollback_bound = std::chrono::seconds(1); ///< For the member to confirm a rollback.
    duration memory = std::chrono::seconds(10); ///< For which callers are told why a transaction is no longer open.
};

/// Transactions of callers, each pinned to one connection and in a state of the chart `transaction`.
///
/// A transaction belongs to whoever knows its id, over whatever connection of a caller. Not thread-safe: owned by the
/// decision thread.
class transaction_engine {
public:
    /// Error: bad_request if the embedded chart does not fit this class.
    [[nodiscard]] static result<transaction_engine> make(transaction_engine_options options);

    /// Takes a begin whose tenant, class and group are known. Its deadline bounds the transaction.
    void begin(const caller_request& request, const class_config& rules, instant now);

    /// Takes a statement, commit or rollback of a transaction.
    void handle(const caller_request& request, instant now);

    /// The request with the tenant, class and group of its transaction, if that is known here.
    [[nodiscard]] caller_request place(const caller_request& request) const;

    /// Applies an event of a connection that a transaction holds.
    void apply(const upstream_event& event, instant now);

    /// Gives idle connections to the member to the transactions that wait for one.
    void serve_waiting(const member_key& member, instant now);

    /// Ends the transactions of the group that were begun in an earlier term than the present one.
    void evidence_changed(const std::string& group, instant now);

    /// Delivers the timers that are due.
    void tick(instant now);

    /// When tick() is next needed.
    [[nodiscard]] std::optional<instant> next() const { return timers_.next(); }

    /// Whether a transaction holds the connection.
    [[nodiscard]] bool contains(connection_number connection) const { return connections_.contains(connection); }

    /// Number of transactions that are being begun, are open or are being rolled back.
    [[nodiscard]] std::size_t in_progress() const { return connections_.size() + queued_; }

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
        class_config rules;
        std::optional<member_key> member;
        term_number term = 0;
        state_id state{};
        std::optional<caller_request> current; ///< The request that waits for the exchange.
        connection_number connection = 0;      ///< 0: none is held.
        exchange_number exchange = 0;          ///< 0: none is outstanding.
        member_answer reply{};
        std::uint64_t armed = 0; ///< Number of the newest state timer; older ones are void.
    };

    struct transaction_timer {
        std::string id;
        transaction_event event = transaction_event::deadline_passed;
        std::uint64_t number = 0; ///< 0: the deadline of the transaction.
    };

    struct step_context {
        transaction_engine& engine;
        transaction_state& subject;
        const caller_request* request = nullptr; ///< Of a statement, commit or rollback event.
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
    void let_go(transaction_state& subject);
    void answer(const caller_request& request, const transaction_state& subject);
    void fail(const caller_request& request, error_kind kind, const std::string& detail,
              const std::string& result = {});

    transaction_engine_options options_;
    program program_;
    std::map<std::string, transaction_state> transactions_;
    std::map<connection_number, std::string> connections_;
    std::map<member_key, std::deque<std::string>> waiting_;
    std::map<std::string, term_number> terms_; ///< Newest term seen, by group.
    std::size_t queued_ = 0;
    std::uint64_t last_timer_ = 0;
    timer_queue<transaction_timer> timers_;
};

} // namespace citronfall
