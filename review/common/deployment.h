#pragma once

#include "citronfall/instant.h"
#include "platform/standin/loopback_platform.h"
#include "soak/child_process.h"
#include "soak/fault_proxy.h"
#include "standin/http_server.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// Settings of a small deployment on loopback.
struct deployment_options {
    std::string program = "target/citronfalld"; ///< The daemon, started as the deploy file does.
    std::string folder;                         ///< Existing folder for settings files and logs.
    std::vector<std::string> daemons;           ///< Names.
    std::vector<std::string> data_centers;      ///< Of the daemons.
    std::size_t max_connections = 22;           ///< Connections that a member accepts.
    std::function<citronfall::duration(const std::string&)> service_time; ///< Run time of a caller's statement.
    std::vector<std::string> advertised{}; ///< Addresses that the members register, if not their own.
};

/// A stand-in platform with one service of three members, and daemons as separate processes.
///
/// The stand-ins run on a thread of their own, which on_loop() reaches.
class deployment {
public:
    explicit deployment(deployment_options options);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;
    deployment(deployment&&) = delete;
    deployment& operator=(deployment&&) = delete;

    /// Address that the daemon's settings name as a seed. Call before start(); the default are the first three daemons.
    void set_seeds(std::size_t daemon, std::vector<std::string> seeds) { all_.at(daemon).seeds = std::move(seeds); }

    /// Starts the process of a daemon.
    void start(std::size_t daemon);

    /// Waits until the daemon answers a write. Returns whether it did within `limit`.
    bool await_service(std::size_t daemon, citronfall::duration limit);

    /// Runs `action` on the thread of the stand-ins and waits for its end.
    void on_loop(const std::function<void()>& action);

    /// Ends the stand-ins' thread. Their state may be read afterwards.
    void stop_loop();

    [[nodiscard]] std::string callers(std::size_t daemon) const { return all_.at(daemon).callers; }
    [[nodiscard]] std::string peers(std::size_t daemon) const { return all_.at(daemon).peers; }
    [[nodiscard]] const std::string& member(std::size_t index) const { return member_addresses_.at(index); }
    [[nodiscard]] std::string log_file(std::size_t daemon) const;
    [[nodiscard]] citronfall::soak::child_process& process(std::size_t daemon) { return *all_.at(daemon).process; }
    [[nodiscard]] citronfall::platform::standin::loopback_platform& platform() { return *platform_; }
    [[nodiscard]] citronfall::standin::http_server& loop() { return loop_; }

private:
    struct daemon_setup {
        std::string name;
        std::string data_center;
        std::string callers;
        std::string probe;
        std::string peers;
        std::string metrics;
        std::vector<std::string> seeds;
        std::unique_ptr<citronfall::soak::child_process> process;
    };

    void write_settings(const daemon_setup& daemon) const;

    deployment_options options_;
    citronfall::standin::http_server loop_;
    std::vector<std::string> member_addresses_;
    std::string store_;
    std::string promotion_address_;
    std::unique_ptr<citronfall::platform::standin::loopback_platform> platform_;
    std::vector<daemon_setup> all_;
    std::thread thread_;
    std::size_t probes_ = 0;
};

/// Whether the disruption is to be made: TROUBLE=0 in the environment leaves it out.
[[nodiscard]] bool trouble();

} // namespace review
