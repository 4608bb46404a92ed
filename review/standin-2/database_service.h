#pragma once

#include "kv_store.h"
#include "record.h"
#include "stream.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

/// A committed write in the log of a member.
struct commit {
    std::uint64_t term = 0;
    std::uint64_t number = 0;
    std::string receipt;
    std::string request_id;

    friend bool operator==(const commit&, const commit&) = default;
};

/// What the platform answers to a promotion.
struct promotion {
    std::string member;
    std::string holder;
    std::uint64_t fence = 0;
};

/// Settings and hooks of a database service.
struct database_options {
    std::string name;
    std::vector<std::string> members; ///< Ids; the first one leads.
    std::vector<std::string> zones;   ///< Of the members, in the same order.
    unsigned sync_replicas = 0;
    std::size_t max_connections = 22;
    milliseconds work_time{4};
    milliseconds replication_time{1};
    milliseconds promotion_time{300};
    /// Whether an order (PAUSE, RESUME, STEPDOWN) to a member gets no answer and is carried out later.
    std::function<bool(const std::string& member, const std::string& order)> is_late{};
    milliseconds late_time{0};
    /// Called when a member takes the lead, with the log that it leads with.
    std::function<void(const std::string& member, const std::vector<commit>& log)> leads{};
    /// Called when a member runs a caller's statement.
    std::function<void(const std::string& member, const std::string& id, const std::string& text)> ran{};
};

/// A replicated database: one primary and its replicas, which speak the wire protocol on loopback ports of their own.
///
/// A commit gets the next number of the primary's log. Each replica that is up and not paused receives it after the
/// replication time. With synchronous replicas a commit is acknowledged once that many have received it. Not
/// thread-safe.
class database_service {
public:
    database_service(event_loop& loop, record& log, database_options options);

    /// Writes the members' entries into the store.
    void enter(kv_store& store);

    /// The member is silent from now on: its connections stay open and nothing is answered, received or replicated.
    void go_dark(const std::string& member);

    /// A member that went dark starts again with its log; its former connections are reset.
    void come_back(const std::string& member);

    /// Starts a new replica, which has received the primary's whole log, and writes its entry.
    void add(const std::string& member, const std::string& zone);

    /// Reports in the store that a member is draining; it serves and receives on.
    void drain(const std::string& member);

    /// A member ends: its connections are closed, and its entry is removed after `entry_time`.
    void end(const std::string& member, milliseconds entry_time);

    /// Makes a member the primary after the promotion time. Returns the status of the answer.
    int promote(const std::string& member);

    [[nodiscard]] std::string primary() const;
    [[nodiscard]] const std::vector<commit>& log_of(const std::string& member) const
    {
        return members_.at(member)->log;
    }
    [[nodiscard]] unsigned orders() const { return orders_; }
    [[nodiscard]] unsigned late_orders() const { return late_orders_; }

private:
    struct connection {
        stream_ptr socket;
        std::deque<std::string> lines;
        bool started = false;
        bool busy = false;
        bool in_transaction = false;
        bool read_only = false;
        bool failed = false;
        std::vector<std::string> writes; ///< Ids of the transaction's writes.
        std::map<std::string, bool> prepared;
    };
    using connection_ptr = std::shared_ptr<connection>;

    struct member {
        std::string id;
        std::string zone;
        std::unique_ptr<listener> port;
        std::map<stream*, connection_ptr> connections;
        std::vector<commit> log;
        bool up = true;
        bool leads = false;
        bool paused = false;
        bool draining = false;
    };

    /// A commit that is not acknowledged yet.
    struct unacknowledged {
        std::weak_ptr<connection> from;
        commit entry;
    };

    member& make_member(const std::string& id, const std::string& zone);
    void accept(member& at, const stream_ptr& socket);
    void receive(member& at, const connection_ptr& from);
    void process_next(member& at, const connection_ptr& from);
    void start_session(member& at, const connection_ptr& from, const std::string& line);
    void run(member& at, const connection_ptr& from, const std::string& id, const std::string& text);
    void run_work(member& at, const connection_ptr& from, const std::string& id, const std::string& text);
    void run_order(member& at, const connection_ptr& from, const std::string& text);
    void carry_out(member& at, const std::string& text);
    void begin(member& at, const connection_ptr& from, bool read_only, const std::string& after);
    void finish(member& at, const connection_ptr& from, const std::string& answer);
    void refuse(member& at, const connection_ptr& from, const std::string& code);
    void commit_writes(member& at, const connection_ptr& from, const std::string& id);
    void replicate();
    void take_lead(const std::string& id);
    [[nodiscard]] std::string position(const member& at) const;
    [[nodiscard]] bool holds(const member& at, const std::string& position) const;
    [[nodiscard]] std::string status_row(const member& at) const;
    void write_entry(const member& at);

    event_loop& loop_;
    record& record_;
    database_options options_;
    kv_store* store_ = nullptr;
    std::map<std::string, std::unique_ptr<member>> members_;
    std::vector<unacknowledged> waiting_;
    std::map<std::string, steady_time> committed_at_; ///< By receipt.
    std::uint64_t term_ = 1;
    std::uint64_t last_receipt_ = 0;
    unsigned orders_ = 0;
    unsigned late_orders_ = 0;
};

} // namespace review
