#pragma once

#include "platform/standin/loopback_platform.h"
#include "soak/child_process.h"
#include "standin/http_server.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace citronfall::testing {

/// Limits in the settings of an observed process.
struct process_limits {
    std::size_t memory_mb = 96;
    std::uint32_t descriptors = 1024;
};

/// A daemon in a process of its own, before the stand-in of the platform with three members, on loopback. The databases
/// are "fresh", "aged" and "own". The test reads from the system how much memory and how many descriptors it has.
///
/// Not thread-safe.
class observed_process {
public:
    /// Starts the program and waits until it serves; throws std::runtime_error if it does not.
    observed_process(const std::string& program, const process_limits& limits);
    ~observed_process();
    observed_process(const observed_process&) = delete;
    observed_process& operator=(const observed_process&) = delete;
    observed_process(observed_process&&) = delete;
    observed_process& operator=(observed_process&&) = delete;

    [[nodiscard]] const std::string& callers() const { return callers_; } ///< "ip:port"
    [[nodiscard]] const std::string& probe() const { return probe_; }     ///< "ip:port"
    [[nodiscard]] const std::string& peers() const { return peers_; }     ///< "ip:port"

    [[nodiscard]] bool alive();

    /// Largest resident memory so far, in MiB.
    [[nodiscard]] std::size_t peak_memory_mb() const;

    /// Number of open descriptors.
    [[nodiscard]] std::size_t descriptors() const;

    /// Whether a statement of a new session, repeated if it is refused, succeeds before long.
    [[nodiscard]] bool serves(const std::string& text = "READ x");

    /// Whether the readiness probe, repeated if it is refused, is answered before long.
    [[nodiscard]] bool answers_probe() const;

private:
    void start_platform(const std::string& store, const std::string& promotion);

    std::string callers_;
    std::string probe_;
    std::string peers_;
    std::string file_;
    citronfall::standin::http_server loop_;
    std::unique_ptr<platform::standin::loopback_platform> platform_;
    std::thread loop_thread_;
    std::optional<soak::child_process> process_;
    unsigned last_statement_ = 0;
};

} // namespace citronfall::testing
