#pragma once

#include "citronfall/member_answer.h"
#include "citronfall/member_call.h"
#include "citronfall/upstream_command.h"
#include "citronfall/upstream_event.h"
#include "standin/member_model.h"
#include "support/virtual_time.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronfall::testing {

/// Settings of a virtual group.
struct virtual_group_options {
    std::vector<std::string> members;                      ///< Names; the first member starts as primary.
    std::size_t slots = 3;                                 ///< Statements that a member runs concurrently.
    duration latency = std::chrono::milliseconds(1);       ///< Mean one-way latency to daemons.
    duration connect_time = std::chrono::milliseconds(10); ///< Mean time to open a connection.
    duration service_time = std::chrono::milliseconds(1);  ///< Time for which a statement occupies a slot.
    duration lag = std::chrono::milliseconds(5);           ///< Replication lag.
};

/// The members of a group and the daemons' connections to them, in simulated time. Takes the place of the upstream
/// threads.
class virtual_group {
public:
    /// Receives the events of one daemon's connections. Instants in events are simulated time, not the daemon's clock.
    using notify_hook = std::function<void(const upstream_event&)>;

    virtual_group(virtual_time& time, virtual_group_options options);

    /// Carries out a command of a daemon. Instants in the command are simulated time, not the daemon's clock.
    void execute(const std::string& daemon, const upstream_command& command, const notify_hook& notify);

    /// Closes all connections of a daemon. Calls that it has sent still reach the members.
    void disconnect_daemon(const std::string& daemon);

    /// Cuts the member off the network: packets to and from it are lost, and it takes no part in replication.
    void partition(const std::string& member) { members_.at(member).partitioned = true; }

    /// Cuts the path between one daemon and the member: packets on it are lost.
    void partition_path(const std::string& daemon, const std::string& member)
    {
        partitioned_paths_.emplace(daemon, member);
    }

    /// Reconnects a member that was cut off the network.
    void heal(const std::string& member) { members_.at(member).partitioned = false; }

    /// Makes the current connections to the member lose all packets from now on. New connections work.
    void silence(const std::string& member);

    void lag(duration value) { options_.lag = value; }

    /// Address at which daemons reach a member.
    [[nodiscard]] static std::string address(const std::string& member) { return member + ":1"; }

    [[nodiscard]] const standin::member_model& model(const std::string& member) const
    {
        return members_.at(member).model;
    }

    /// Name of the primary with the highest term; empty if there is none.
    [[nodiscard]] std::string primary() const;

    /// Hook that changes a call before a member carries it out, to simulate faulty members.
    std::function<member_call(const std::string& member, const member_call&)> distort_call;

    /// Hook that changes an answer before it is sent, to simulate faulty members.
    std::function<member_answer(const std::string& member, const member_call&, const member_answer&)> distort_answer;

private:
    using connection_id = std::pair<std::string, connection_number>;

    struct connection_state {
        std::string member;
        standin::model_session session = 0;
        exchange_number exchange = 0; ///< 0 if none is outstanding.
        bool silent = false;
        notify_hook notify;
    };

    struct waiting_call {
        connection_id from;
        standin::model_session session = 0;
        exchange_number exchange = 0;
        instant sent_at;
        member_call call;
    };

    struct member_state {
        standin::member_model model;
        bool partitioned = false;
        std::size_t running = 0;
        std::deque<waiting_call> queue;
    };

    void open(const connection_id& id, const upstream_command& command, const notify_hook& notify);
    void start(const connection_id& id, const upstream_command& command);
    void receive(const waiting_call& call, const std::string& member);
    void run_next(const std::string& member);
    void execute_call(const waiting_call& call, const std::string& member);
    [[nodiscard]] bool reachable(const std::string& daemon, const std::string& member) const
    {
        return !members_.at(member).partitioned && !partitioned_paths_.contains({daemon, member});
    }
    void fail(const connection_id& id, exchange_number exchange, instant sent_at);
    void replicate();
    void schedule_replication();

    virtual_time& time_;
    virtual_group_options options_;
    std::map<std::string, member_state> members_;
    std::map<connection_id, connection_state> connections_;
    std::set<std::pair<std::string, std::string>> partitioned_paths_; ///< Pairs of daemon and member.
    standin::model_session last_session_ = 0;
};

} // namespace citronfall::testing
