#pragma once

#include "citronfall/instant.h"
#include "citronfall/log_position.h"
#include "pool/member_command.h"
#include "pool/member_event.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronfall::standin {

/// Id of a connection to a member, chosen by the user of the model.
using member_session = std::uint64_t;

/// Options of a service model.
struct service_model_options {
    std::string name = "ledger";
    std::vector<std::string> members; ///< Member ids; the first member is the primary.
    duration replica_lag = std::chrono::milliseconds(10);
    duration promotion_time = std::chrono::milliseconds(300);
    std::size_t max_connections = 20; ///< Connections that a member accepts.
    std::size_t sync_replicas = 0;    ///< Replicas that must have received a commit before it is acknowledged.
    /// Formats the row of a status answer as the code under test expects it.
    std::function<std::string(bool leads, const log_position& received, term_number paused_by)> status_row;
};

/// A committed transaction in the log.
struct log_entry {
    log_position position;
    instant at{};
    std::map<std::string, std::string> changes; ///< New value by item.
    bool rolled_back = false; ///< Whether it was lost in a failover: the promoted member had not received it.
};

/// One execution of a caller's statement by a member.
struct statement_run {
    std::string receipt; ///< Unique within the service.
    std::string request_id;
    std::string member;
    member_session session = 0;
    std::uint64_t transaction = 0; ///< Id within the service; 0: none.
    instant at{};
    log_position held;                         ///< Position up to which the member had the log.
    std::vector<std::string> rows{};           ///< The rows of the answer.
    std::map<std::string, std::string> values; ///< Session values on the connection.
};

/// Model of the members of one replicated service, with their log, connections and transactions, without a network.
///
/// Time is an argument of each call. Not thread-safe.
class service_model {
public:
    explicit service_model(service_model_options options);

    /// Opens a connection. Returns wrong_member or too_many_connections on failure.
    std::optional<error_kind> open(const std::string& member, member_session session);

    /// Closes a connection; an open transaction is rolled back.
    void close(const std::string& member, member_session session);

    /// Executes one statement. The caller has to set the connection of the reply.
    member_reply_fields answer(const std::string& member, member_session session, const member_query& query,
                               instant now);

    /// Makes a member the leader after the promotion time. Returns whether the request was accepted.
    bool promote(const std::string& member, instant now);

    /// Ends a member's process, its connections and their transactions.
    void crash(const std::string& member);

    /// Starts a member's process again; it keeps its log, and its replication is no longer paused.
    void restart(const std::string& member)
    {
        members_.at(member).up = true;
        members_.at(member).paused_at.reset();
    }

    /// Completes the promotions that are due.
    void advance(instant now);

    void set_replica_lag(duration lag) { options_.replica_lag = lag; }
    [[nodiscard]] const std::string& name() const { return options_.name; }
    [[nodiscard]] std::size_t sync_replicas() const { return options_.sync_replicas; }
    [[nodiscard]] bool up(const std::string& member) const { return members_.at(member).up; }
    [[nodiscard]] std::optional<std::string> leader() const; ///< Nothing if it is down.
    [[nodiscard]] bool paused(const std::string& member) const { return members_.at(member).paused_at.has_value(); }
    [[nodiscard]] bool leads(const std::string& member) const { return members_.at(member).leads; }
    /// Transactions that are open on a member, without those that have just begun and run no statement: a daemon probes
    /// the leader with an empty transaction.
    [[nodiscard]] std::size_t open_transactions(const std::string& member, instant now) const;
    [[nodiscard]] log_position committed() const { return committed_; }
    /// Whether so many replicas have received the log up to `position` that its last commit may be acknowledged.
    [[nodiscard]] bool may_acknowledge(const log_position& position, instant now) const;
    /// Position up to which a member has received the log.
    [[nodiscard]] log_position received_by(const std::string& member, instant now) const
    {
        return received_position(members_.at(member), now);
    }
    [[nodiscard]] const std::vector<log_entry>& log() const { return log_; }
    [[nodiscard]] const std::vector<statement_run>& runs() const { return runs_; }
    [[nodiscard]] const std::vector<std::string>& promotions() const { return promotions_; }

private:
    struct connection_state {
        std::uint64_t transaction = 0; ///< Open transaction; 0: none.
        instant begun_at{};            ///< Start of the transaction.
        bool ran_statement = false;    ///< In the transaction.
        bool failed = false;
        bool may_write = false;
        log_position floor{}; ///< Minimum position of a read-only transaction.
        std::map<std::string, std::string> changes;
        std::map<std::string, std::string> values;
        std::map<std::string, bool> prepared; ///< Whether the prepared statement writes, by name.
    };
    struct member_state {
        bool up = true;
        bool leads = false;
        log_position step_down_position{}; ///< End of its log when it stepped down.
        std::optional<instant> paused_at;  ///< Since when it receives no log entries.
        term_number paused_by = 0;         ///< Term of the pause.
        std::map<member_session, connection_state> connections;
    };
    struct parsed_statement {
        bool writes = false;
        bool commits = false;
        std::string item;
        std::string data;
    };
    struct due_promotion {
        instant at{};
        std::string member;
        log_position received; ///< Position of the member when the promotion was requested.
    };

    void execute_internal(member_state& member, connection_state& connection, const member_statement& body,
                          member_reply_fields& reply, instant now);
    void begin(member_state& member, connection_state& connection, const std::optional<log_position>& after,
               member_reply_fields& reply, instant now);
    void run(const std::string& id, connection_state& connection, member_session session, const member_query& query,
             member_reply_fields& reply, instant now);
    void apply(member_state& member, connection_state& connection, const parsed_statement& statement,
               member_reply_fields& reply, instant now);
    [[nodiscard]] static std::optional<parsed_statement> parse_statement(const connection_state& connection,
                                                                         const member_statement& body);
    [[nodiscard]] static std::optional<log_position> required_position(const member_statement& body);
    [[nodiscard]] log_position received_position(const member_state& member, instant now) const;
    [[nodiscard]] std::string value_at(const std::string& item, const log_position& held) const;
    void commit(const std::map<std::string, std::string>& changes, instant now);
    void roll_back_after(const log_position& held);

    service_model_options options_;
    std::map<std::string, member_state> members_; ///< By id.
    std::vector<log_entry> log_;                  ///< In commit order, including rolled back entries.
    std::map<std::string, std::vector<std::size_t>>
        entries_by_item_; ///< Indices of the log entries that change an item.
    log_position committed_{{.term = 1, .index = 0}};
    std::vector<due_promotion> due_promotions_;
    std::vector<statement_run> runs_;
    std::vector<std::string> promotions_;
    std::uint64_t last_transaction_ = 0;
};

} // namespace citronfall::standin
