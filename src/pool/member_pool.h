#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "deployment/member_registration.h"
#include "pool/connection_budget.h"
#include "pool/exchange.h"
#include "pool/member_command.h"
#include "pool/member_event.h"
#include "pool/pooled_connection.h"
#include "pool/pooled_member.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace citronfall {

/// Hooks of a member pool; all are called on the decision thread.
struct member_pool_hooks {
    std::function<void(const member_command&)> send;
    std::function<void(const std::string&, instant)> idle; ///< A connection to the member became idle.
    std::function<void(const std::string&, const member_reply&, instant sent_at, instant now)> answered;
    std::function<void(const std::string&, member_reachability, instant)> reachability_changed;
    std::function<void(const std::string&, const std::string&)> log; ///< Event and its fields.
};

/// How the connections to the members of a service are shared between daemons.
struct connection_share {
    std::uint32_t limit = 0; ///< That one member accepts.
    std::size_t holders = 1; ///< Daemons that hold connections.
    bool is_holder = true;   ///< This daemon is one of them; others open connections on demand only.

    friend auto operator<=>(const connection_share&, const connection_share&) = default;
};

/// What a user wants of a connection.
struct acquire_options {
    session_values values{};             ///< Of the session that will use it.
    std::size_t waiting = 1;             ///< Statements that wait for a connection to this member, this one included.
    std::function<void(instant)> lost{}; ///< Called if the connection ends while no exchange is open on it.
};

/// All connections of this daemon to members: opens and closes them within the budget, hands them out and matches
/// answers to statements.
///
/// A connection is handed out to one user at a time and returns with release(), which rolls back what is open on it.
/// Not thread-safe: owned by the decision thread.
class member_pool {
public:
    /// A leaving member gets no new work after `leaving_bound`. Error (bad_request): the chart does not fit.
    [[nodiscard]] static result<std::unique_ptr<member_pool>> make(member_pool_hooks hooks, duration leaving_bound);

    /// The entries that the store lists now, and how connections are shared, by service.
    void configure(const std::map<std::string, member_registration>& entries,
                   const std::map<std::string, connection_share>& shares, instant now);

    /// An event of the member thread.
    void handle(const member_event& message, instant now);

    /// Opens missing connections, closes surplus ones. To be called every few tens of milliseconds.
    void tick(instant now);

    /// Hands out an idle connection to the member, preferably one on which the wanted values are set already. 0 if
    /// there is none; one is opened then if the budget allows.
    [[nodiscard]] connection_number acquire(const std::string& member, const acquire_options& options, instant now);

    /// Opens one more connection to the member if the budget allows it and none is idle; `waiting` statements want it.
    void want(const std::string& member, std::size_t waiting, instant now);

    /// Sends one statement. Precondition: the connection is handed out.
    void send(connection_number connection, member_query query, exchange hooks);

    /// Sends statements of the daemon itself in one write; `ended` is called once for each.
    void send_internal(connection_number connection, const std::vector<member_statement>& statements,
                       const exchange_hook& ended, instant now);

    /// Takes a connection back, rolling back a transaction that is open on it. Precondition: it is handed out and no
    /// exchange is open, or the connection has ended.
    void release(connection_number connection, instant now);

    /// Closes a connection; hooks of its open exchanges are not called.
    void discard(connection_number connection, instant now);

    /// The connection; null once it has ended.
    [[nodiscard]] pooled_connection* find(connection_number connection);

    /// The member; null if the store does not list it and no connection is left.
    [[nodiscard]] const pooled_member* member(const std::string& id) const;

    /// Whether the member may get new work: it is listed and was not seen leaving for longer than the pool's bound.
    [[nodiscard]] bool takes_work(const std::string& id, instant now) const;

    /// Ids of the members of a service that the store lists.
    [[nodiscard]] std::vector<std::string> members_of(const std::string& service) const;

    /// Number of open connections over all members, for the readiness of the daemon.
    [[nodiscard]] std::size_t open_connections() const;

    /// Oldest instant at which a measured exchange in progress with the member was sent, if any.
    [[nodiscard]] std::optional<instant> oldest_exchange_sent_at(const std::string& id) const;

    /// This process stood still until `now`: answers may wait unread, so silence until now proves nothing.
    void note_process_stall(instant now) { judged_from_ = now; }

    /// A probe of the member got no answer; it was sent at `sent_at`.
    void unanswered(const std::string& id, instant sent_at, instant now);

    /// One line on the connections to a member: open, idle, being opened, and the states of those in use.
    [[nodiscard]] std::string describe(const pooled_member& target) const;

    /// Members by id, listed or not.
    [[nodiscard]] const std::map<std::string, pooled_member>& members() const { return members_; }

    /// Connections opened so far, for counters.
    [[nodiscard]] std::uint64_t opened_total() const { return opened_total_; }

private:
    enum class event : std::uint8_t { opened, acquire, release, rolled_back, ended, discard };
    struct context {
        member_pool& pool;
        pooled_connection& subject;
        instant now;
    };

    member_pool(member_pool_hooks hooks, duration leaving_bound)
        : hooks_(std::move(hooks)), leaving_bound_(leaving_bound)
    {
    }

    result<done> bind();
    static chart_bindings<context> bindings();
    void fire(pooled_connection& subject, event what, instant now);
    static void note_latency(pooled_member& target, const member_reply& reply, duration latency, instant now);
    void open(pooled_member& target, instant now);
    void close_surplus(pooled_member& target, instant now);
    void keep_minimum(pooled_member& target, instant now);
    void drop_finished_members();
    void on_opened(connection_number number, instant now);
    void on_reply(const member_reply& reply, instant now);
    void on_closed(const member_connection_closed& closed, instant now);
    void end_silent(instant now);
    void note_failed_attempt(pooled_member& target, const member_connection_closed& closed, instant opened_at,
                             instant now);
    void make_idle(pooled_connection& subject, instant now);
    void forget(pooled_connection& subject);
    void update_reachability(pooled_member& target, member_reachability before, instant now);
    [[nodiscard]] connection_demand demand(const pooled_member& target) const;

    member_pool_hooks hooks_;
    duration leaving_bound_; ///< How long a leaving member still gets new work where nobody else can take it.
    std::optional<chart_program<event, context>> program_;
    std::map<std::string, pooled_member> members_;
    std::map<connection_number, pooled_connection> connections_;
    std::vector<connection_number> closed_; ///< Reached their final state; erased by the next call from outside.
    connection_number last_connection_ = 0;
    std::uint64_t opened_total_ = 0;
    instant judged_from_{};
};

} // namespace citronfall
