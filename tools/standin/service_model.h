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

/// A connection to a member, numbered by whoever opened it.
using member_session = std::uint64_t;

/// Settings of a service.
struct service_model_options {
    std::string name = "ledger";
    std::vector<std::string> members; ///< Ids; the first one leads.
    duration replica_lag = std::chrono::milliseconds(10);
    duration promotion_time = std::chrono::milliseconds(300);
    std::size_t max_connections = 20; ///< A member accepts.
    /// The row of a status answer, as the code under test reads it.
    std::function<std::string(bool leads, const log_position& received)> status_row;
};

/// One committed transaction.
struct log_entry {
    log_position position;
    instant at{};
    std::map<std::string, std::string> changes; ///< Value by item.
    bool rolled_back = false;                   ///< A promoted member had not received it.
};

/// One run of a caller's statement, as the member saw it.
struct statement_run {
    std::string receipt; ///< Unique within the service.
    std::string request_id;
    std::string member;
    member_session session = 0;
    std::uint64_t transaction = 0; ///< Numbered within the service; 0: none.
    instant at{};
    log_position held;                         ///< What the member's log held.
    std::vector<std::string> rows{};           ///< What it answered.
    std::map<std::string, std::string> values; ///< Session values on the connection.
};

/// The members of one replicated service with their log, connections and transactions, without a network.
///
/// Time is told by each call. Not thread-safe.
class service_model {
public:
    explicit service_model(service_model_options options);

    /// Opens a connection. Failure: wrong_member or too_many_connections.
    std::optional<error_kind> open(const std::string& member, member_session session);

    /// Ends a connection; an open transaction is rolled back.
    void close(const std::string& member, member_session session);

    /// Runs one statement. The reply's connection is left to the caller.
    member_reply_fields answer(const std::string& member, member_session session, const member_query& query,
                               instant now);

    /// Makes a member the leader once its promotion time has passed. Returns whether the order was accepted.
    bool promote(const std::string& member, instant now);

    /// Ends a member's process; its connections and their transactions are gone.
    void crash(const std::string& member);

    /// Starts a member's process again with the log that it had.
    void restart(const std::string& member) { members_.at(member).up = true; }

    /// Completes promotions that are due.
    void advance(instant now);

    void set_replica_lag(duration lag) { options_.replica_lag = lag; }
    [[nodiscard]] const std::string& name() const { return options_.name; }
    [[nodiscard]] bool up(const std::string& member) const { return members_.at(member).up; }
    [[nodiscard]] std::optional<std::string> leader() const; ///< That is up.
    [[nodiscard]] bool paused(const std::string& member) const { return members_.at(member).paused_at.has_value(); }
    [[nodiscard]] bool leads(const std::string& member) const { return members_.at(member).leads; }
    [[nodiscard]] std::size_t open_transactions(const std::string& member) const;
    [[nodiscard]] log_position committed() const { return position_; }
    [[nodiscard]] const std::vector<log_entry>& log() const { return log_; }
    [[nodiscard]] const std::vector<statement_run>& runs() const { return runs_; }
    [[nodiscard]] const std::vector<std::string>& promotions() const { return promotions_; }

private:
    struct connection_state {
        std::uint64_t transaction = 0; ///< 0: none.
        bool failed = false;
        bool may_write = false;
        log_position floor{}; ///< What a reading transaction began with.
        std::map<std::string, std::string> changes;
        std::map<std::string, std::string> values;
        std::map<std::string, bool> prepared; ///< Whether the shape writes, by name.
    };
    struct member_state {
        bool up = true;
        bool leads = false;
        log_position led_to{};            ///< End of the log when it stopped leading.
        std::optional<instant> paused_at; ///< It receives nothing since.
        std::map<member_session, connection_state> connections;
    };
    struct caller_statement_parts {
        bool writes = false;
        bool commits = false;
        std::string item;
        std::string data;
    };
    struct due_promotion {
        instant at{};
        std::string member;
        log_position received; ///< Of the member when the order came.
    };

    void answer_own(member_state& target, connection_state& on, const member_statement& body,
                    member_reply_fields& reply, instant now);
    void begin(member_state& target, connection_state& on, const std::optional<log_position>& after,
               member_reply_fields& reply, instant now);
    void run(const std::string& id, connection_state& on, member_session session, const member_query& query,
             member_reply_fields& reply, instant now);
    void apply(member_state& target, connection_state& on, const caller_statement_parts& wanted,
               member_reply_fields& reply, instant now);
    [[nodiscard]] static std::optional<caller_statement_parts> parts_of(const connection_state& on,
                                                                        const member_statement& body);
    [[nodiscard]] static std::optional<log_position> required(const member_statement& body);
    [[nodiscard]] log_position held_by(const member_state& target, instant now) const;
    [[nodiscard]] std::string value_at(const std::string& item, const log_position& held) const;
    void commit(const std::map<std::string, std::string>& changes, instant now);
    void roll_back_after(const log_position& held);

    service_model_options options_;
    std::map<std::string, member_state> members_;                ///< By id.
    std::vector<log_entry> log_;                                 ///< In order of commit, rolled back entries included.
    std::map<std::string, std::vector<std::size_t>> changes_of_; ///< Entries that change an item.
    log_position position_{{.term = 1, .index = 0}};
    std::vector<due_promotion> due_;
    std::vector<statement_run> runs_;
    std::vector<std::string> promotions_;
    std::uint64_t last_transaction_ = 0;
};

} // namespace citronfall::standin
