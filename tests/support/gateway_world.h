#pragma once

#include "gateway/gateway_engine.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// Fakes of the store, of one service's members and of callers around real gateway engines, in virtual time.
///
/// Every message takes one millisecond. One route of each consistency leads to the service "ledger": databases "fresh",
/// "aged" and "own". Not thread-safe.
class gateway_world {
public:
    struct options {
        std::size_t daemons = 1;
        std::size_t members = 3;
        duration replica_lag = std::chrono::milliseconds(10);
        std::uint32_t max_connections = 20;
        std::uint64_t seed = 1;
    };

    /// A reply to a caller, with the instant at which it was sent.
    struct received_reply {
        instant at{};
        caller_reply reply;
    };

    explicit gateway_world(const options& chosen);
    ~gateway_world();
    gateway_world(const gateway_world&) = delete;
    gateway_world& operator=(const gateway_world&) = delete;
    gateway_world(gateway_world&&) = delete;
    gateway_world& operator=(gateway_world&&) = delete;

    /// Lets time pass.
    void run(duration length);

    /// Present instant.
    [[nodiscard]] instant now() const { return now_; }

    /// Opens a session on a daemon and returns its number.
    session_number open(std::size_t daemon, const std::string& database);

    /// Sends a statement such as "READ x", "WRITE x", "BEGIN", "BEGIN READ", "COMMIT" or "ROLLBACK".
    void send(std::size_t daemon, session_number session, const std::string& text);

    /// Sends a statement and lets time pass until it is answered, at most `longest`.
    std::optional<statement_reply> ask(std::size_t daemon, session_number session, const std::string& text,
                                       duration longest = std::chrono::seconds(2));

    /// Ends a caller's connection.
    void leave(std::size_t daemon, session_number session);

    /// Replies to a session so far.
    [[nodiscard]] const std::vector<received_reply>& replies(std::size_t daemon, session_number session);

    // Faults.
    void crash_member(const std::string& id);                    ///< Its process is down; connections are reset.
    void darken_member(const std::string& id);                   ///< Nothing from it arrives any more.
    void announce_drain(const std::string& id);                  ///< It reports that it is leaving.
    void lose_answers(const std::string& id, std::size_t count); ///< The next answers of callers' statements get lost.
    void set_replica_lag(duration lag) { lag_ = lag; }
    void refuse_store(std::size_t daemon, bool refused); ///< The store turns this daemon away.
    void write_configuration(std::uint64_t version, const std::set<std::string>& databases);
    void terminate(std::size_t daemon);

    // What is seen from outside.
    [[nodiscard]] std::string leader() const;
    [[nodiscard]] log_position committed() const { return position_; }
    [[nodiscard]] const std::vector<std::string>& promotions() const { return promotions_; }
    [[nodiscard]] bool ready(std::size_t daemon) const;
    [[nodiscard]] bool stopped(std::size_t daemon) const;
    [[nodiscard]] std::size_t connections_in_use(const std::string& id) const; ///< Open transactions on the member.
    [[nodiscard]] std::size_t runs(const std::string& request_id) const;       ///< How often members ran the request.
    [[nodiscard]] std::string last_request() const { return "q" + std::to_string(last_request_); }

private:
    struct member_connection;
    struct fake_member;
    struct fake_daemon;
    struct waiting_watch;

    void at(duration later, std::function<void()> action);
    void start_daemon(std::size_t index);
    void tick_daemon(std::size_t index);
    void deliver(std::size_t daemon, const gateway_event& event);
    void obey(std::size_t daemon, const member_command& command);
    void open_connection(std::size_t daemon, const open_member& command);
    void run_query(std::size_t daemon, connection_number connection, const member_query& query);
    member_reply_fields answer_to(fake_member& member, member_connection& connection, const member_query& query);
    void answer_forwarded(fake_member& member, member_connection& connection, const member_query& query,
                          const std::string& text, const std::optional<log_position>& after,
                          member_reply_fields& reply);
    [[nodiscard]] log_position position_of(const fake_member& member) const;
    void commit();
    void obey(std::size_t daemon, const store_call& call);
    store_answer_fields carry_out(const store_call& call);
    void promote(const promote_member& order);
    void write_item(const std::string& key, const std::string& value, lease_number lease);
    void delete_item(const std::string& key);
    void wake_watches();
    void expire_leases();
    void pass(std::size_t from, const peer_order& order);

    instant now_{std::chrono::seconds(1000)};
    std::multimap<instant, std::function<void()>> agenda_;
    std::vector<std::unique_ptr<fake_daemon>> daemons_;
    std::map<std::string, fake_member> members_; ///< By id.
    duration lag_;
    std::uint32_t max_connections_;
    log_position position_{{.term = 1, .index = 0}};
    std::vector<std::pair<instant, log_position>> history_; ///< When the leader reached each position.
    std::map<std::string, store_item> items_;
    std::map<std::string, kv_revision> deletions_;
    std::map<lease_number, instant> leases_;
    std::vector<waiting_watch> watches_;
    kv_revision revision_ = 1;
    std::vector<std::string> promotions_;
    std::map<std::string, std::size_t> runs_;
    session_number last_session_ = 0;
    std::uint64_t last_request_ = 0;
    std::uint64_t random_state_;
};

} // namespace citronfall
