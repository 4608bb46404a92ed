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
    std::vector<std::string> members;                      ///< Names; the first one starts as primary.
    std::size_t slots = 3;                                 ///< Statements that a member runs at a time.
    duration latency = std::chrono::milliseconds(1);       ///< Mean one-way latency to daemons.
    duration connect_time = std::chrono::milliseconds(10); ///< Mean time to open a connection.
    duration service_time = std::chrono::milliseconds(1);  ///< Time that a statement holds a slot.
    duration lag = std::chrono::milliseconds(5);           ///< Age at which entries reach the replicas.
};

/// The members of a group and the daemons' connections to them, in virtual time, at the interface of the upstream
/// thread.
class virtual_group {
public:
    /// Receives the events of one daemon's connections. Instants in events are world time.
    using notify_hook = std::function<void(const upstream_event&)>;

    virtual_group(virtual_time& time, virtual_group_options options);

    /// Carries out a command of a daemon. Instants in the command are world time.
    void execute(const std::string& daemon, const upstream_command& command, const notify_hook& notify);

    /// Closes all connections of a daemon. What it has sent still reaches the members.
    void daemon_lost(const std::string& daemon);

    /// From now on packets to and from the member vanish, and it neither replicates nor is replicated from.
    void partition(const std::string& member) { members_.at(member).partition = true; }

    /// From now on packets between one daemon and the member vanish.
    void cut_path(const std::string& daemon, const std::string& member) { cut_paths_.emplace(daemon, member); }

    /// Ends a cut.
    void heal(const std::string& member) { members_.at(member).partition = false; }

    /// The present connections to the member go silent for good; new ones work.
    void silence(const std::string& member);

    /// Sets the replication lag.
    void lag(duration value) { options_.lag = value; }

    /// Address under which daemons reach a member.
    [[nodiscard]] static std::string address(const std::string& member) { return member + ":1"; }

    /// The member's model.
    [[nodiscard]] const standin::member_model& model(const std::string& member) const
    {
        return members_.at(member).model;
    }

    /// The primary of the highest term; empty if none.
    [[nodiscard]] std::string primary() const;

    /// Replaces a call before a member carries it out; for members that misbehave.
    std::function<member_call(const std::string& member, const member_call&)> distort_call;

    /// Replaces an answer before it is sent; for members that misbehave.
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
        bool partition = false;
        std::size_t running = 0;
        std::deque<waiting_call> queue;
    };

    void open(const connection_id& id, const upstream_command& command, const notify_hook& notify);
    void start(const connection_id& id, const upstream_command& command);
    void arrive(const waiting_call& call, const std::string& member);
    void run_next(const std::string& member);
    void carry_out(const waiting_call& call, const std::string& member);
    [[nodiscard]] bool reachable(const std::string& daemon, const std::string& member) const
    {
        return !members_.at(member).partition && !cut_paths_.contains({daemon, member});
    }
    void fail(const connection_id& id, exchange_number exchange, instant sent_at);
    void replicate();
    void replicate_regularly();

    virtual_time& time_;
    virtual_group_options options_;
    std::map<std::string, member_state> members_;
    std::map<connection_id, connection_state> connections_;
    std::set<std::pair<std::string, std::string>> cut_paths_; ///< Daemon and member.
    standin::model_session last_session_ = 0;
};

} // namespace citronfall::testing
