#pragma once

#include "citronfall/instant.h"
#include "citronfall/peer_message.h"
#include "core/timer_queue.h"
#include "dispatch/statement_location.h"
#include "dispatch/statement_task.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// Hooks of a statement relay, called on the decision thread.
struct statement_relay_hooks {
    std::function<void(const std::string& peer, const peer_message&)> send;
    std::function<task_number(const task_request&, instant)> run; ///< Runs a statement locally for another daemon.
    std::function<bool()> accepts; ///< Whether this daemon still runs new statements for others.
    std::function<std::string(const task_request&)> target; ///< Daemon to relay to; empty if there is none.
    std::function<void(task_number, instant)> cancel;
    std::function<void(connection_number, instant)> release; ///< Rolls back an open transaction.
    std::function<void(const task_request&, const task_outcome&, instant)>
        finished;                                                    ///< Result of a statement sent to a peer.
    std::function<void(connection_number, instant)> connection_lost; ///< A remote transaction ended unexpectedly.
    std::function<void(const std::string&, const std::string&)> log; ///< Event name, fields.
    std::size_t max_running_bytes = 16 * 1024 * 1024;                ///< Texts of statements run for other daemons.
};

/// Relays statements from daemons that hold no connections to a service's members to daemons that hold some. Used for
/// services whose members accept fewer connections than there are daemons.
///
/// A transaction stays on the daemon that ran its first statement. That daemon names it for the sender; a name denotes
/// one transaction for good, because messages about a transaction may arrive after its connection has begun another
/// one. Within the sender it has a connection number from a reserved range. The loss of a peer is reported like a lost
/// connection to a member. Not thread-safe: owned by the decision thread.
class statement_relay {
public:
    /// `incarnation` distinguishes this run of the daemon from earlier ones: their numbers differ, so that a late
    /// answer to a statement of an earlier run matches none of this run.
    statement_relay(statement_relay_hooks hooks, std::uint64_t incarnation);

    /// Whether the connection number denotes a transaction on another daemon.
    [[nodiscard]] static bool is_remote_connection(connection_number connection);

    /// Whether the session number denotes a caller of another daemon.
    [[nodiscard]] static bool is_relayed_session(session_number session);

    /// Sends a statement to a peer. Returns the number with which it can be cancelled.
    task_number submit(const std::string& peer, const task_request& request, instant now);

    /// The peer that runs a remote transaction; empty if the transaction has ended.
    [[nodiscard]] std::string peer_of(connection_number remote) const;

    /// Where a statement that was sent to a peer is; nothing if it is unknown or answered.
    [[nodiscard]] std::optional<statement_location> locate(task_number task) const;

    /// Cancels a statement whose caller has disconnected. Returns false if the number is not from this relay.
    bool cancel(task_number task);

    /// Ends a statement as if its time were over. Returns false if the number is not from this relay.
    bool expire(task_number task, instant now);

    /// Rolls back a remote transaction.
    void end(connection_number remote);

    /// Reports the result of a statement that this daemon ran for a peer.
    void finished(const task_request& request, const task_outcome& outcome, instant now);

    /// Reports that a connection was lost. Returns whether it held a transaction that a peer relayed.
    bool relayed_connection_lost(connection_number connection);

    /// Whether this daemon runs a statement or holds an open transaction for a peer.
    [[nodiscard]] bool works_for_peers() const { return !running_.empty() || !idle_transactions_.empty(); }

    /// Rolls back the transactions of peers that run no statement, and tells the peers.
    void end_idle_transactions(instant now);

    /// Rolls back the transactions of peers that have been idle for much longer than `limit`, after which the peer
    /// should have ended them, and tells the peers. Without effect if the limit is 0. Call it every second at least.
    void end_overdue_transactions(duration limit, instant now);

    void handle(const std::string& peer, const relayed_statement& statement, instant now);
    void handle(const std::string& peer, const relayed_outcome& outcome, instant now);
    void handle(const std::string& peer, const relayed_end& end, instant now);

    /// Reports that the connection to a peer was lost.
    void disconnected(const std::string& peer, instant now);

    /// Fails statements whose answer is overdue. Call it when next() is reached.
    void tick(instant now);

    /// When tick() has to be called next; nothing if no statement is in progress on a peer.
    [[nodiscard]] std::optional<instant> next() const { return deadlines_.next(); }

    /// Number of statements sent to a peer and not answered yet.
    [[nodiscard]] std::size_t pending_answers(const std::string& peer) const;

private:
    struct sent_statement {
        std::string peer;
        task_request request;
        instant sent_at{};
    };
    struct remote_transaction {
        std::string peer;
        std::uint64_t transaction = 0;
    };
    struct running_statement {
        std::string peer;
        std::uint64_t number = 0;
        task_number task = 0;
        std::uint64_t transaction = 0; ///< Name of the transaction that it continues; 0: none.
        std::size_t bytes = 0;         ///< Size of its text.
    };
    /// Transaction of a peer that is open on a connection of this daemon and runs no statement.
    struct idle_transaction {
        std::string peer;
        connection_number connection = 0;
        std::uint64_t statement = 0; ///< Number of the last statement.
        instant since{};
    };

    using idle_transactions = std::map<std::uint64_t, idle_transaction>; ///< By name.

    void send(task_number number, const sent_statement& sent, instant now);
    void forget_sent(task_number number);
    void remove_pending(const std::string& peer);
    bool send_elsewhere(task_number number, const std::string& refused_by, instant now);
    [[nodiscard]] bool has_room(std::size_t bytes) const;
    void refuse(const std::string& peer, const relayed_statement& statement, error_kind kind);
    [[nodiscard]] idle_transactions take(const std::function<bool(const idle_transaction&)>& is_taken);
    void end_all(const idle_transactions& ended, const char* reason, instant now);
    sent_statement give_up(task_number number, const char* reason);
    void fail_lost(task_number number, const char* reason, instant now);
    [[nodiscard]] std::uint64_t name_of_transaction(const task_request& request, const running_statement& done);
    void log_ended(const std::string& peer, std::uint64_t transaction, const char* reason) const;

    statement_relay_hooks hooks_;
    std::map<task_number, sent_statement> sent_;
    std::map<std::string, std::size_t> pending_; ///< Number of statements in sent_, by peer.
    timer_queue<task_number> deadlines_;
    std::map<connection_number, remote_transaction> remote_transactions_;
    std::map<session_number, running_statement> running_; ///< By the session number that this relay assigned.
    idle_transactions idle_transactions_;
    std::uint64_t last_number_;
};

} // namespace citronfall
