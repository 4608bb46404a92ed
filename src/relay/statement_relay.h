#pragma once

#include "citronfall/instant.h"
#include "citronfall/peer_message.h"
#include "dispatch/statement_task.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// Hooks of a statement relay; all are called on the decision thread.
struct statement_relay_hooks {
    std::function<void(const std::string& peer, const peer_message&)> send;
    std::function<task_number(const task_request&, instant)> run; ///< Runs a statement here for another daemon.
    std::function<void(task_number, instant)> cancel;
    std::function<void(connection_number, instant)> release;                         ///< Rolls back what is open.
    std::function<void(const task_request&, const task_outcome&, instant)> finished; ///< Of a statement sent out.
    std::function<void(connection_number, instant)> connection_lost; ///< Of a transaction that is open elsewhere.
    std::function<void(const std::string&, const std::string&)> log; ///< Event and its fields.
};

/// Lets daemons that hold connections to a service's members run the statements of those that do not, where members
/// accept fewer connections than there are daemons.
///
/// A transaction stays on the daemon that ran its first statement; the sender knows it by a connection number of a
/// range of its own. What is lost with a peer is told as on a lost connection to a member. Not thread-safe: owned by
/// the decision thread.
class statement_relay {
public:
    explicit statement_relay(statement_relay_hooks hooks) : hooks_(std::move(hooks)) {}

    /// Whether the number stands for a transaction on another daemon.
    [[nodiscard]] static bool is_remote_connection(connection_number connection);

    /// Whether the session number stands for a caller of another daemon.
    [[nodiscard]] static bool is_relayed_session(session_number session);

    /// Sends a statement to a peer. Returns its number, by which it can be cancelled.
    task_number submit(const std::string& peer, const task_request& request, instant now);

    /// The peer that runs a remote transaction; empty if it is gone.
    [[nodiscard]] std::string peer_of(connection_number remote) const;

    /// The caller of a statement has left. Returns whether the number was one of this relay's.
    bool cancel(task_number task);

    /// Ends a remote transaction.
    void end(connection_number remote);

    /// A statement that this daemon ran for another one has ended.
    void finished(const task_request& request, const task_outcome& outcome, instant now);

    /// The connection of a foreign caller's transaction ended. Returns whether it was one.
    bool relayed_connection_lost(connection_number connection);

    void handle(const std::string& peer, const relayed_statement& statement, instant now);
    void handle(const std::string& peer, const relayed_outcome& outcome, instant now);
    void handle(const std::string& peer, const relayed_end& end, instant now);

    /// A peer's connection ended.
    void disconnected(const std::string& peer, instant now);

    /// Gives up statements whose answer is overdue. To be called every few tens of milliseconds.
    void tick(instant now);

    /// Statements that wait for a peer's answer.
    [[nodiscard]] std::size_t pending_answers(const std::string& peer) const;

private:
    struct sent_statement {
        std::string peer;
        task_request request;
        instant sent_at{};
        instant deadline{};
    };
    struct remote_transaction {
        std::string peer;
        std::uint64_t transaction = 0;
    };
    struct foreign_statement {
        std::string peer;
        std::uint64_t number = 0;
        task_number task = 0;
    };

    void lose(task_number number, instant now);

    statement_relay_hooks hooks_;
    std::map<task_number, sent_statement> sent_;
    std::map<connection_number, remote_transaction> remote_;
    std::map<session_number, foreign_statement> foreign_;   ///< By the session number given to the statement.
    std::map<connection_number, std::string> foreign_open_; ///< Connections of foreign transactions, by peer.
    std::uint64_t last_number_ = 0;
};

} // namespace citronfall
