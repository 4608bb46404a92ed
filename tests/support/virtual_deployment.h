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

/// Several decision engines, one group and the platform in one thread and in virtual time. Each daemon's clock differs
/// from the world's by an offset of its own.
class virtual_deployment {
public:
    using answer_hook = std::function<void(const caller_answer&)>;

    explicit virtual_deployment(virtual_deployment_options options);

    /// Hands a caller's request to a daemon. Deadline and instants are world time; the handle is chosen here. No answer
    /// comes if the daemon is or gets lost.
    void submit(const std::string& daemon, caller_request_fields request, answer_hook answered);

    /// Ends a daemon at once.
    void kill_daemon(const std::string& daemon);

    /// Starts a daemon that was lost, without any state.
    void start(const std::string& daemon);

    /// Stops a daemon's process for a time. What happens to it meanwhile is delivered when it wakes.
    void pause(const std::string& daemon, duration length);

    /// Whether messages between daemons arrive.
    void connect_peers(bool connected) { options_.peers_connected = connected; }

    /// Asks a daemon to drain.
    void drain(const std::string& daemon);

    [[nodiscard]] virtual_time& time() { return time_; }
    [[nodiscard]] virtual_group& group() { return group_; }
    [[nodiscard]] const virtual_group& group() const { return group_; }
    [[nodiscard]] virtual_platform& platform() { return platform_; }
    [[nodiscard]] const std::vector<std::string>& daemons() const { return names_; }
    [[nodiscard]] bool running(const std::string& daemon) const { return daemons_.at(daemon).engine != nullptr; }

    /// Log lines of all daemons, with the daemon's name.
    [[nodiscard]] const std::vector<std::string>& log() const { return log_; }

    /// Number of log lines that contain `text`.
    [[nodiscard]] std::size_t logged(const std::string& text) const;

    /// Name of the group, the tenant and the classes of the document.
    static constexpr const char* group_name = "ledger";
    static constexpr const char* tenant = "kapot";
    static constexpr const char* booking_class = "booking"; ///< Evidence by a majority.
    static constexpr const char* draft_class = "draft";     ///< Evidence by the primary's word.

private:
    struct daemon_state {
        std::unique_ptr<decision_engine> engine;
        std::uint64_t run = 0; ///< Differs between two runs of the daemon, so that late events reach no new one.
        duration offset{};
        instant asleep_until;
        std::deque<decision_event> pending; ///< Events that came while it was paused.
        std::optional<instant> wake_at;
        std::map<request_handle, answer_hook> callers;
    };

    [[nodiscard]] operator_config document() const;
    void deliver(const std::string& daemon, std::uint64_t run, const decision_event& event);
    void schedule(const std::string& daemon);
    void forward(const std::string& daemon, const upstream_command& command);
    void introduce(const std::string& daemon);
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
