#pragma once

#include "caller_session/caller_event.h"
#include "caller_session/caller_reply.h"
#include "caller_session/caller_session.h"
#include "caller_session/session_end.h"
#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "dispatch/statement_dispatcher.h"
#include "dispatch/statement_location.h"
#include "dispatch/statement_task.h"
#include "overload/byte_ledger.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronfall {

/// Hooks of a session table; all are called on the decision thread.
struct session_table_hooks {
    std::function<void(const caller_reply&)> reply;
    std::function<const route*(const std::string& database)> find_route; ///< Null if no route serves the database.
    /// Name of the caller's tenant by its key, or empty if it needs none. Error (unknown_key): the key identifies no
    /// tenant. Without this hook no caller needs a key.
    std::function<result<std::string>(const route&, const std::string& key)> identify{};
    /// Reason to refuse a new session, if any. With not_ready its start waits a while for the daemon to become ready.
    std::function<std::optional<error_kind>(instant)> refuse_start;
    std::function<task_number(const task_request&, instant)> submit;
    std::function<void(task_number, instant)> cancel;
    std::function<void(task_number, instant)> expire;        ///< Ends a statement as if its time were over.
    std::function<void(connection_number, instant)> release; ///< Returns a connection; rolls back its transaction.
    std::function<std::optional<statement_location>(task_number)> locate; ///< Nothing if the statement is unknown.
    std::function<std::string(connection_number)> peer_of; ///< Daemon that holds a remote transaction; else empty.
    std::function<void(const route&, const task_outcome&, duration took)> answered; ///< Called for metrics.
    std::function<void(const session_end&)> ended;                                  ///< Called for logs and metrics.
    std::function<void(const std::string&, const std::string&)> log;      ///< Name of the event, and its fields.
    std::size_t max_kept_bytes = std::numeric_limits<std::size_t>::max(); ///< Of all sessions together.
};

/// The sessions of callers: their session values and prepared names, their transactions and the order of their answers
/// (chart `session`).
///
/// A transaction is pinned to a connection from its first statement on. Session values and prepared names are kept here
/// and set up on whichever connection runs the next statement. If all sessions together keep too much, the one that
/// keeps the most is refused the statement by which it would, or is closed. Not thread-safe: owned by the decision
/// thread.
class session_table {
public:
    /// Error (bad_request): the chart does not match the bindings.
    [[nodiscard]] static result<std::unique_ptr<session_table>> make(session_table_hooks hooks);

    /// Handles an event of the caller thread.
    void handle(const caller_event& message, instant now);

    /// Handles the outcome of a statement that was submitted for a session.
    void finished(const task_request& request, const task_outcome& outcome, instant now);

    /// A statement that was submitted has got another number.
    void renumber(session_number session, task_number before, task_number after);

    /// The connection of an open transaction has ended.
    void connection_lost(connection_number connection, instant now);

    /// Starts the sessions that waited for the daemon to become ready, or refuses those that waited for too long.
    void admit_delayed_starts(instant now);

    /// Rolls back the open transactions of callers whose key identifies no tenant any more. Call it after each change
    /// of the configuration; later statements of such callers are refused.
    void end_withdrawn_transactions(instant now);

    /// Ends transactions that have been idle for longer than `idle_limit`; 0 disables the limit.
    void tick(duration idle_limit, instant now);

    /// Offers to close a session after each answer that leaves it outside a transaction and without waiting statements.
    void close_after_answer(session_number session);

    /// Offers to close a session as soon as it is outside a transaction and every statement is answered. The session
    /// remains until the caller thread has closed its connection, since a further statement may be on its way.
    void close_when_idle(session_number session);

    /// Rolls back an open transaction that runs no statement, and offers to close its session.
    void end_transaction(session_number session, instant now);

    /// Ends the statement in progress as if its time were over, and refuses further ones.
    void end_statements(session_number session, instant now);

    /// Closes a session of which a message could not be handled. Nothing is promised about a statement in progress.
    void end_after_failure(session_number session, instant now);

    /// Reports the sessions that are left when the process ends.
    void report_process_end();

    /// Identifiers of all sessions.
    [[nodiscard]] std::vector<session_number> sessions() const;

    /// Whether a session is in a transaction or has an unanswered statement.
    [[nodiscard]] bool busy(session_number session) const;

    /// Whether the session has an unanswered statement.
    [[nodiscard]] bool has_unanswered_statement(session_number session) const;

    /// Bytes that sessions are charged for what they keep.
    [[nodiscard]] std::size_t kept_bytes() const { return kept_.total(); }

    /// Number of sessions.
    [[nodiscard]] std::size_t size() const { return sessions_.size(); }

private:
    enum class event : std::uint8_t {
        begin,
        run,
        roll_back,
        answered_open,
        answered_ended,
        answered_failed,
        connection_lost,
        idle_too_long,
        grace_over,
        key_withdrawn,
        left,
    };
    struct context {
        session_table& table;
        caller_session& session;
        const task_outcome* outcome = nullptr;
        instant now;
    };

    /// The start of a session that waits for the daemon to become ready.
    struct delayed_start {
        caller_connected started;
        instant since{};
        std::vector<caller_statement> statements; ///< Received meanwhile.
    };

    explicit session_table(session_table_hooks hooks) : hooks_(std::move(hooks)), kept_(hooks_.max_kept_bytes) {}

    result<done> bind();
    static chart_bindings<context> bindings();
    void fire(caller_session& session, event what, const task_outcome* outcome, instant now);
    void start(const caller_connected& started, instant now);
    void refuse(const caller_connected& started, error_kind kind);
    void receive(const caller_statement& received, instant now);
    void refuse_malformed(const malformed_caller_message& malformed, instant now);
    void leave(const caller_disconnected& left, instant now);
    void report_end(const caller_session& session, const caller_disconnected& left);
    void process(caller_session& session, const caller_statement& received, instant now);
    void process_local(caller_session& session, const parsed_statement& query, instant now);
    [[nodiscard]] std::optional<error> keep(caller_session& session, const parsed_statement& query, instant now);
    [[nodiscard]] bool charge(session_number number, std::size_t before, std::size_t bytes, instant now);
    void give_way(session_number number, instant now);
    void process_next(session_number number, instant now);
    [[nodiscard]] result<std::string> tenant_of(const caller_session& session) const;
    void refuse_withdrawn(caller_session& session, instant now);
    [[nodiscard]] std::optional<error> check_runnable(const caller_session& session,
                                                      const parsed_statement& query) const;
    void run(caller_session& session, transaction_step kind, instant now);
    void pass_answer(caller_session& session, const task_outcome& outcome, instant now);
    void note_commit(caller_session& session, const task_outcome& outcome);
    void answer(caller_session& session, std::optional<error> failure);
    void send_answer(caller_session& session, instant now);
    void offer_close(caller_session& session, session_end_reason reason, const error& failure);
    void end_after_notice(caller_session& session, instant now);
    void close(session_number number, session_end_reason reason, const std::optional<error>& failure, instant now);
    [[nodiscard]] bool idle(const caller_session& session) const { return session.state == program_->initial(); }

    session_table_hooks hooks_;
    std::optional<chart_program<event, context>> program_;
    std::vector<transaction_state> transaction_states_; ///< Transaction state shown to callers, by state of the chart.
    std::map<session_number, caller_session> sessions_;
    std::map<connection_number, session_number> pinned_;
    std::map<session_number, delayed_start> delayed_starts_;
    byte_ledger kept_; ///< What each session keeps beyond the answers to its statements.
};

} // namespace citronfall
