#pragma once

#include "platform/standin/blocking_client.h"
#include "soak/soak_history.h"

#include <atomic>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace review {

/// Shortest and longest pause between the statements of a transaction, in milliseconds.
struct pause_range {
    std::uint64_t least = 20;
    std::uint64_t most = 120;
};

/// A booking desk that makes transactions of two writes each on one daemon, one after the other. It starts a new
/// session after each failure. Runs on a thread of its own.
class desk {
public:
    desk(std::string name, std::string address, std::uint64_t seed, pause_range pauses = {})
        : name_(std::move(name)), address_(std::move(address)), random_(seed), pauses_(pauses)
    {
    }

    /// Returns what it sent and received.
    std::vector<citronfall::soak::recorded_operation> run(const std::atomic<bool>& stop);

private:
    using client = citronfall::platform::standin::blocking_client;

    bool book(client& connection);
    bool execute(client& connection, citronfall::soak::recorded_operation& operation,
                 citronfall::soak::recorded_verb kind, std::string text, const std::string& item = {});
    void pause(pause_range range);

    std::string name_;
    std::string address_;
    std::mt19937_64 random_;
    pause_range pauses_;
    std::uint64_t session_ = 0;
    std::uint64_t last_request_ = 0;
    std::vector<citronfall::soak::recorded_operation> history_;
};

} // namespace review
