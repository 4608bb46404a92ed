#pragma once

#include "stream.h"

#include <cstdint>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

/// What the settings of one daemon hold besides the defaults of a small deployment.
struct daemon_options {
    std::string program; ///< As in the deploy file, relative to the repository's root.
    std::string folder;  ///< For the settings file and the log.
    std::string name;
    std::string zone;
    std::string store_address;
    std::string promotion_address;
    std::uint32_t drain_ms = 7000;
    std::uint32_t apply_ms = 3000;
    double link_mbps = 1000;
    bool fences_enforced = true;
    bool first_start = true; ///< The whole system starts for the first time.
};

/// A daemon as a process of its own, started with the command of the deploy file. The destructor kills it.
class daemon_process {
public:
    explicit daemon_process(daemon_options options);
    ~daemon_process();
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    /// Writes the settings, as the platform renders the template, and starts the process.
    void start(const std::vector<std::string>& seeds);

    /// Kills the process.
    void kill();

    /// Starts a process that was killed again.
    void restart();

    [[nodiscard]] bool running() const;
    [[nodiscard]] pid_t process() const { return process_; }
    [[nodiscard]] const std::string& name() const { return options_.name; }
    [[nodiscard]] endpoint frontend() const { return {.host = host_, .port = frontend_port}; }
    [[nodiscard]] std::string admin_address() const;

private:
    static constexpr std::uint16_t frontend_port = 8784;

    daemon_options options_;
    std::string host_; ///< A loopback address of its own, so that the ports of a machine are free on it.
    std::vector<std::string> seeds_;
    pid_t process_ = 0;
};

} // namespace review
