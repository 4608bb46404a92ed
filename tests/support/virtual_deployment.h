#pragma once

#include "citronfall/caller_answer.h"
#include "citronfall/caller_request.h"
#include "citronfall/operator_config.h"
#include "daemon/decision_engine.h"
#include "support/virtual_group.h"
#include "support/virtual_platform.h"
#include "support/virtual_time.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronfall::testing {

/// Settings of a virtual deployment.
struct virtual_deployment_options {
    std::uint64_t seed = 1;
    std::size_t daemons = 3;
    virtual_group_options group{.members = {"a", "b", "c"}};
    duration peer_latency = std::chrono::milliseconds(1); ///< Mean one-way latency between daemons.
    duration platform_latency = std::chrono::milliseconds(2);
    bool automatic_failover = true;
    bool peers_connected = true;
    std::uint32_t connections_per_member = 100; ///< Of all daemons together.
};

/// Several daemons' decision engines, one group and the platform, in one thread and in simulated time. The clock of
/// each daemon differs from simulated time by its own offset.
class virtual_deployment {
public:
    using answer_hook = std::function<void(const caller_answer&)>;

    explicit virtual_deployment(virtual_deployment_options options);

    /// Passes a caller's request to a daemon. The deadline is simulated time, and the handle is chosen here. `answered`
    /// is not called if the daemon is down or goes down before it answers.
    void submit(const std::string& daemon, caller_request_fields request, answer_hook answered);

    /// Kills a daemon. Its state is lost and its connections are closed.
    void kill_daemon(const std::string& daemon);

    /// Starts a daemon that was killed, without any state.
    void start(const std::string& daemon);

    /// Pauses a daemon's process for a time. Events that arrive meanwhile are delivered when it resumes.
    void pause(const std::string& daemon, duration length);

    /// Sets whether messages between daemons are delivered.
    void connect_peers(bool connected) { options_.peers_connected = connected; }

    void drain(const std::string& daemon);

    [[nodiscard]] virtual_time& time() { return time_; }
    [[nodiscard]] virtual_group& group() { return group_; }
    [[nodiscard]] const virtual_group& group() const { return group_; }
    [[nodiscard]] virtual_platform& platform() { return platform_; }
    [[nodiscard]] const std::vector<std::string>& daemons() const { return names_; }
    [[nodiscard]] bool running(const std::string& daemon) const { return daemons_.at(daemon).engine != nullptr; }

    /// Log lines of all daemons, each prefixed by the daemon's name.
    [[nodiscard]] const std::vector<std::string>& log() const { return log_; }

    /// Number of log lines that contain `text`.
    [[nodiscard]] std::size_t count_log_lines(const std::string& text) const;

    /// Names of the group, the tenant and the classes in the configuration.
    static constexpr const char* group_name = "ledger";
    static constexpr const char* tenant = "kapot";
    static constexpr const char* booking_class = "booking"; ///< Writes need the confirmation of a majority.
    static constexpr const char* draft_class = "draft";     ///< Writes need only the primary's confirmation.

private:
    struct daemon_state {
        std::unique_ptr<decision_engine> engine;
        std::uint64_t incarnation = 0; ///< Number of starts; events of an earlier run are dropped.
        duration offset{};
        instant paused_until;
        std::deque<decision_event> pending; ///< Events that arrived while the daemon was paused.
        std::optional<instant> next_tick;
        std::map<request_handle, answer_hook> callers;
    };

    [[nodiscard]] operator_config document() const;
    void deliver(const std::string& daemon, std::uint64_t incarnation, const decision_event& event);
    void schedule_tick(const std::string& daemon);
    void send_upstream(const std::string& daemon, const upstream_command& command);
    void connect_to_peers(const std::string& daemon);
    void send_to_peers(const std::string& from, const outgoing_peer_message& command);

    virtual_deployment_options options_;
    virtual_time time_;
    virtual_group group_;
    virtual_platform platform_;
    std::vector<std::string> names_;
    std::map<std::string, daemon_state> daemons_;
    request_handle last_handle_ = 0;
    std::vector<std::string> log_;
};

} // namespace citronfall::testing
