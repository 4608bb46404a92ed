#pragma once

#include "citronfall/decision_answer.h"
#include "citronfall/decision_event.h"
#include "citronfall/document_check_request.h"
#include "citronfall/document_watch_command.h"
#include "citronfall/group_view.h"
#include "citronfall/instant.h"
#include "citronfall/operator_config.h"
#include "citronfall/outgoing_peer_message.h"
#include "citronfall/peer_candidates.h"
#include "citronfall/platform_call.h"
#include "citronfall/result.h"
#include "citronfall/upstream_command.h"
#include "connection_share/connection_share_ledger.h"
#include "failover/failover_record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace citronfall {

/// Hooks and settings of a decision engine.
struct decision_engine_options {
    std::string daemon;                                     ///< Name of this daemon.
    std::string data_center;                                ///< Where it runs.
    std::function<void(const decision_answer&)> answer;     ///< Passes an answer to the responder.
    std::function<void(const upstream_command&)> send;      ///< Passes a command to the upstream thread.
    std::function<void(const platform_call&)> platform;     ///< Passes a call to the platform thread.
    std::function<void(const outgoing_peer_message&)> peer; ///< Passes a message to the peer thread.
    std::function<void(const std::string&)> log;            ///< Writes a log line.
    std::function<std::uint64_t()> random;                  ///< Uniform 64-bit numbers, for nonces and jitter.
    std::function<std::uint64_t()> secure_random;           ///< Unpredictable numbers, for transaction ids.
    std::function<std::string(const failover_record&)> encode_record;         ///< Encodes a group's failover record.
    std::function<result<failover_record>(const std::string&)> decode_record; ///< Decodes a group's failover record.
    std::string region = {};                                                  ///< Region of the daemon.
    /// Passes a document to the document thread.
    std::function<void(const document_check_request&)> check_document = [](const auto&) {
    };
    /// Passes a command to the watch thread.
    std::function<void(const document_watch_command&)> watch = [](const auto&) {
    };
    /// Tells the peer thread which daemons it may connect to.
    std::function<void(const peer_candidates&)> candidates = [](const auto&) {
    };
    /// Wall clock in milliseconds since 1970.
    std::function<std::int64_t()> wall_ms = [] {
        return std::int64_t{0};
    };
    /// Counters of the other threads.
    std::function<std::map<std::string, std::uint64_t>()> counters = [] {
        return std::map<std::string, std::uint64_t>{};
    };
    std::uint64_t incarnation = 0; ///< As announced to peers in the hello message.
    std::function<std::string(const connection_share_ledger&)> encode_ledger; ///< Encodes a connection share ledger.
    /// Decodes a connection share ledger.
    std::function<std::optional<connection_share_ledger>(const std::string&)> decode_ledger;
    std::function<void()> stop;                      ///< Called once, when the daemon has drained.
    duration drain_bound = std::chrono::seconds(30); ///< Time limit of a drain.
};

/// The control logic of one daemon, without sockets, threads, encodings and clocks.
///
/// Reacts to events and to the time that is passed in, and acts only through its hooks, so that tests can run several
/// engines in one thread with a simulated clock. Not thread-safe: owned by the decision thread.
class decision_engine {
public:
    /// Error: bad_request if an embedded state chart does not match the code.
    [[nodiscard]] static result<std::unique_ptr<decision_engine>> make(decision_engine_options options);

    ~decision_engine();
    decision_engine(const decision_engine&) = delete;
    decision_engine& operator=(const decision_engine&) = delete;
    decision_engine(decision_engine&&) = delete;
    decision_engine& operator=(decision_engine&&) = delete;

    void handle(const decision_event& event, instant now);

    /// Runs everything that is due at `now`.
    void tick(instant now);

    /// When tick() must be called next, if a timer is armed.
    [[nodiscard]] std::optional<instant> next() const;

private:
    class impl;

    explicit decision_engine(std::unique_ptr<impl> all);

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall
