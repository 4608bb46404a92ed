#pragma once

#include "citronfall/instant.h"
#include "platform/standin/blocking_client.h"
#include "soak/soak_history.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace citronfall::soak {

/// How a caller uses its sessions.
struct caller_habits {
    std::uint64_t longest_session = 30; ///< Operations of one session.
    std::chrono::milliseconds longest_pause{20};
    std::chrono::milliseconds longest_transaction_pause{10};
    std::chrono::milliseconds longest_reading_delay{0}; ///< Some answers are read with a delay up to this.
    std::chrono::milliseconds longest_notice_delay{0};  ///< Messages between statements are noticed up to this late.
    std::chrono::milliseconds answer_timeout{3000};     ///< Longer than the statement timeouts of all routes.
};

/// Settings of a caller.
struct soak_caller_options {
    std::uint64_t seed = 1;
    std::string name;                 ///< Prefix of its request ids and values; unique within the run.
    std::vector<std::string> daemons; ///< Addresses of the daemons.
    std::vector<std::pair<std::string, read_consistency>> databases;
    caller_habits habits{};
};

/// Records the answer that a caller received just now. Thread-safe for different statements.
void record_answer(recorded_statement& statement, const platform::standin::received_answer& answer);

/// A caller that runs sessions of random length: reads, writes and transactions on a few items that all callers share.
/// A session is used until it fails, its connection ends or a message arrives while no answer is awaited. A statement
/// may cross such a message, which is then the beginning of its answer.
///
/// Not thread-safe: runs on a thread of its own.
class soak_caller {
public:
    explicit soak_caller(soak_caller_options options) : options_(std::move(options)), random_(options_.seed) {}

    /// Runs sessions until `stop` is set. Returns the recorded operations.
    std::vector<recorded_operation> run(const std::atomic<bool>& stop);

private:
    using client = platform::standin::blocking_client;

    void run_session(const std::atomic<bool>& stop);
    bool run_operation(client& connection, recorded_operation operation);
    bool run_transaction(client& connection, recorded_operation& operation);
    bool told_to_leave(const client& connection);
    bool set_values(client& connection, recorded_operation operation);
    bool execute(client& connection, recorded_operation& operation, recorded_verb kind);
    bool start(client& connection, const std::string& database, std::size_t daemon);
    [[nodiscard]] std::uint64_t below(std::uint64_t bound) { return random_() % bound; }
    [[nodiscard]] std::chrono::milliseconds reading_delay();
    void pause(std::chrono::milliseconds longest);

    soak_caller_options options_;
    std::mt19937_64 random_;
    std::vector<recorded_operation> history_;
    std::map<std::string, std::string> values_; ///< Values of the current session.
    std::uint64_t last_request_ = 0;
    std::uint64_t last_session_ = 0;
};

} // namespace citronfall::soak
