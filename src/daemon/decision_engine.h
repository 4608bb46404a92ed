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
    std::function<void(const decision_answer&)> answer;     ///< Hands an answer to the responder.
    std::function<void(const upstream_command&)> send;      ///< Hands a command to the upstream thread.
    std::function<void(const platform_call&)> platform;     ///< Hands a call to the platform thread.
    std::function<void(const outgoing_peer_message&)> peer; ///< Hands a message to the peer thread.
    std::function<void(const std::string&)> log;            ///< Writes a line for a change of state.
    std::function<std::uint64_t()> random;                  ///< Uniform numbers, for nonces and jitter.
    std::function<std::uint64_t()> secure_random;           ///< Numbers that nobody can predict, for transaction ids.
    std::function<std::string(const failover_record&)> encode_record;         ///< Text of a group's record.
    std::function<result<failover_record>(const std::string&)> decode_record; ///< Reads the text of a group's record.
    std::string region = {};                                                  ///< Region of the daemon.
    std::function<void(const document_check_request&)> check_document = [](const auto&) {
    }; ///< To the document thread.
    std::function<void(const document_watch_command&)> watch = [](const auto&) {
    }; ///< To the watch thread.
    std::function<void(const peer_candidates&)> candidates = [](const auto&) {
    }; ///< To the peer thread.
    std::function<std::int64_t()> wall_ms = [] {
        return std::int64_t{0};
    }; ///< Milliseconds since 1970.
    std::function<std::map<std::string, std::uint64_t>()> counters = [] {
        return std::map<std::string, std::uint64_t>{};
    };                                                                        ///< Counters of the other threads.
    std::uint64_t incarnation = 0;                                            ///< As in the hello to peers.
    std::function<std::string(const connection_share_ledger&)> encode_ledger; ///< Text of a share ledger.
    std::function<std::optional<connection_share_ledger>(const std::string&)> decode_ledger; ///< Reads a share ledger.
    std::function<void()> stop;                      ///< Called once, when the daemon has drained.
    duration drain_bound = std::chrono::seconds(30); ///< Time that work in progress has after a drain request.
};

/// All decisions of one daemon, free of sockets, threads, encodings and clocks.
///
/// Reacts to events and to the passing of time; acts only through its hooks. Not thread-safe: owned by the decision
/// thread. Tests run several engines in one thread under an injected clock.
class decision_engine {
public:
    /// Error: bad_request if an embedded chart does not fit the code.
    [[nodiscard]] static result<std::unique_ptr<decision_engine>> make(decision_engine_options options);

    ~decision_engine();
    decision_engine(const decision_engine&) = delete;
    decision_engine& operator=(const decision_engine&) = delete;
    decision_engine(decision_engine&&) = delete;
    decision_engine& operator=(decision_engine&&) = delete;

    /// Applies one event.
    void handle(const decision_event& event, instant now);

    /// Does what is due at `now`.
    void tick(instant now);

    /// When tick() is next needed.
    [[nodiscard]] std::optional<instant> next() const;

private:
    class parts;

    explicit decision_engine(std::unique_ptr<parts> all);

    std::unique_ptr<parts> parts_;
};

} // namespace citronfall
