#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "core/timer_queue.h"
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
#include <optional>
#include <string>
#include <vector>

namespace citronfall {

/// Hooks of a member pool; all are called on the decision thread.
struct member_pool_hooks {
    std::function<void(const member_command&)> send;
    std::function<void(const std::string&, instant)> idle; ///< A connection to the member has become idle.
    std::function<void(const std::string&, const member_reply&, instant sent_at, instant now)> answered;
    std::function<void(const std::string&, member_reachability, instant)> reachability_changed;
    std::function<void(const std::string&, const std::string&)> log; ///< Name of the event, and its fields.
};

/// How the connections to the members of a service are shared between daemons.
struct connection_share {
    std::uint32_t limit = 0;  ///< Connections that one member accepts.
    std::size_t holders = 1;  ///< Daemons that keep connections open.
    bool is_holder = true;    ///< This daemon is one of them; others open connections only on demand.
    std::size_t position = 0; ///< Of this daemon among them.

    friend auto operator<=>(const connection_share&, const connection_share&) = default;
};

/// Options of acquire().
struct acquire_options {
    /// Tenant whose statement the connection will run; empty: no tenant's. Nothing: a statement of the daemon itself,
    /// which any connection may run.
    std::optional<std::string> tenant{};
    session_values values{};             ///< Session values of the session that will use the connection.
    std::size_t waiting = 1;             ///< Statements that wait for a connection to this member, including this one.
    std::function<void(instant)> lost{}; ///< Called if the connection ends while no statement is in flight on it.
};

/// The connections of this daemon to members. Opens and closes them within the connection budget, hands them out and
/// matches answers to statements.
///
/// A connection is handed out to one user at a time and comes back by release(), which rolls back a transaction that is
/// open on it. Not thread-safe: owned by the decision thread.
class member_pool {
public:
    /// A draining member gets no new statements after `draining_grace`. Error (bad_request): the chart does not match
    /// the bindings.
    [[nodiscard]] static result<std::unique_ptr<member_pool>> make(member_pool_hooks hooks, duration draining_grace);

    /// Sets the members that are registered in the store, and how connections are shared, by service.
    void configure(const std::map<std::string, member_registration>& entries,
                   const std::map<std::string, connection_share>& shares, instant now);

    /// This daemon starts at `now`. All daemons may have started, and members keep the connections of those that lost
    /// power for some time: until then the budget leaves room for them.
    void expect_former_connections(instant now) { former_connections_until_ = former_connections_end(now); }

    /// Handles an event of the member thread.
    void handle(const member_event& message, instant now);

    /// Opens missing connections and closes surplus and overdue ones. Call it when next() is reached, and at least
    /// every 100 ms: the ends of idle and of overdue connections may be that late.
    void tick(instant now);

    /// When tick() has to be called next to open a connection; nothing if none is missing.
    [[nodiscard]] std::optional<instant> next() const;

    /// Hands out an idle connection to the member, preferably one that has the wanted session values already. Returns 0
    /// if none is idle, and opens one if the budget allows it.
    [[nodiscard]] connection_number acquire(const std::string& member, const acquire_options& options, instant now);

    /// Opens one more connection of the tenant to the member if it has none that is idle and the budget allows it;
    /// `waiting` statements would use it. A tenant's connection may take the place of another tenant's idle one.
    void open_if_none_idle(const std::string& member, const std::string& tenant, std::size_t waiting, instant now);

    /// Idle connections to the member that can run statements of the tenant.
    [[nodiscard]] std::size_t idle_connections(const std::string& member, const std::string& tenant) const;

    /// Whether a connection of the tenant to the member is being opened.
    [[nodiscard]] bool is_opening(const std::string& member, const std::string& tenant) const;

    /// Sends one statement. Precondition: the connection is handed out.
    void send(connection_number connection, member_query query, exchange hooks);

    /// Sends statements of the daemon itself in one write; `ended` is called once for each of them.
    void send_internal(connection_number connection, const std::vector<member_statement>& statements,
                       const exchange_hook& ended, instant now);

    /// Returns a connection to the pool, after rolling back a transaction that is open on it. Precondition: the
    /// connection is handed out and no statement is in flight on it, or it has ended.
    void release(connection_number connection, instant now);

    /// Closes a connection. The hooks of its statements in flight are not called.
    void discard(connection_number connection, instant now);

    /// Returns the connection, or null if it has ended.
    [[nodiscard]] pooled_connection* find(connection_number connection);

    /// Returns the member, or null if it is not registered in the store and no connection to it is left.
    [[nodiscard]] const pooled_member* member(const std::string& id) const;

    /// Whether the member may get new statements: it is registered, and has not been draining for longer than the pool
    /// allows.
    [[nodiscard]] bool accepts_statements(const std::string& id, instant now) const;

    /// Whether the pace of a member that has just started or recovered allows one more statement. A statement is always
    /// allowed, one at a time, if no other member of the service can be reached, or if `only_this` can serve it.
    [[nodiscard]] bool pace_allows(const std::string& id, bool only_this, instant now) const;

    /// Ids of the registered members of a service, valid until the next call of configure().
    [[nodiscard]] const std::vector<std::string>& members_of(const std::string& service) const;

    /// Number of open connections to all members; part of the daemon's readiness.
    [[nodiscard]] std::size_t open_connections() const;

    /// When the oldest statement in flight to the member was sent, if there is one.
    [[nodiscard]] std::optional<instant> oldest_exchange_sent_at(const std::string& id) const;

    /// The process was suspended until `now`. Answers may wait unread, so missing answers count only from then on.
    void note_process_stall(instant now) { silence_counts_from_ = now; }

    /// A probe that was sent to the member at `sent_at` got no answer.
    void unanswered(const std::string& id, instant sent_at, instant now);

    /// Describes the connections to a member in one line: their number, and how many are in each state.
    [[nodiscard]] std::string describe(const pooled_member& target) const;

    /// Members by id, including those that are no longer registered.
    [[nodiscard]] const std::map<std::string, pooled_member>& members() const { return members_; }

    /// Number of connections opened so far.
    [[nodiscard]] std::uint64_t opened_total() const { return opened_total_; }

    /// Number of ramps started so far, for members that had started or recovered.
    [[nodiscard]] std::uint64_t ramps_total() const { return ramps_total_; }

private:
    enum class event : std::uint8_t { opened, acquire, release, rolled_back, ended, discard };
    struct context {
        member_pool& pool;
        pooled_connection& pooled;
        instant now;
    };

    member_pool(member_pool_hooks hooks, duration draining_grace)
        : hooks_(std::move(hooks)), draining_grace_(draining_grace)
    {
    }

    result<done> bind();
    static chart_bindings<context> bindings();
    void fire(pooled_connection& pooled, event what, instant now);
    void on_reset(connection_number number, const exchange_outcome& outcome, instant now);
    static void record_latency(pooled_member& target, const member_reply& reply, duration latency, instant now);
    void open(pooled_member& target, const std::string& tenant, instant now);
    void open_for(pooled_member& target, const std::string& tenant, instant now);
    void close_longest_idle(const pooled_member& target, const std::string& kept_tenant, instant now);
    [[nodiscard]] connection_number choose_idle(const pooled_member& target, const acquire_options& options) const;
    void close_surplus(instant now);
    void keep_one_open(instant now);
    void check_members(instant now);
    [[nodiscard]] static bool needs_connection(const pooled_member& target);
    void erase_unused_member(const std::string& id);
    void on_opened(connection_number number, instant now);
    void on_reply(const member_reply& reply, instant now);
    void on_closed(const member_connection_closed& closed, instant now);
    void close_overdue(instant now);
    void record_connect_failure(pooled_member& target, const member_connection_closed& closed, instant opened_at,
                                instant now);
    void arm_answer_timeout(pooled_connection& pooled, instant due);
    void arm_surplus_check(pooled_connection& pooled, instant due);
    void make_idle(pooled_connection& pooled, instant now);
    void forget(pooled_connection& pooled, instant now);
    void update_reachability(pooled_member& target, member_reachability before, instant now);
    [[nodiscard]] connection_demand demand(const pooled_member& target) const;

    // Pace (member_pool_pace.cc).
    void start_ramp(pooled_member& target, instant now);
    void observe_pace(pooled_member& target, pace_signal signal, duration latency, instant now);
    void resume_paused(instant now);
    [[nodiscard]] pace_reference others_of(const pooled_member& target, instant now) const;

    member_pool_hooks hooks_;
    duration draining_grace_; ///< How long a draining member still gets new statements.
    std::optional<chart_program<event, context>> program_;
    std::map<std::string, pooled_member> members_;
    std::map<std::string, std::vector<std::string>> listed_; ///< Registered members, by service.
    std::map<connection_number, pooled_connection> connections_;
    std::vector<connection_number> closed_;            ///< In their final state; erased by the next tick().
    timer_queue<connection_number> answer_timeouts_;   ///< Of the daemon's own statements.
    timer_queue<connection_number> surplus_checks_;    ///< Of connections that have become idle.
    std::map<std::string, instant> connection_checks_; ///< Members that may need a first connection, by id.
    connection_number last_connection_ = 0;
    std::uint64_t opened_total_ = 0;
    std::uint64_t ramps_total_ = 0;
    std::map<std::string, instant> paused_;   ///< Ends of the pauses between statements, by member.
    std::optional<instant> first_members_at_; ///< When the first members were listed.
    instant silence_counts_from_{};
    instant former_connections_until_{};
};

} // namespace citronfall
