#pragma once

#include "gateway/gateway_engine.h"
#include "load/virtual_time.h"
#include "standin/store_model.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// One gateway engine in a fleet whose other daemons are registered, know the store and answer, but are not simulated;
/// in virtual time.
///
/// Shows what one daemon costs by the size of the fleet. It is assigned to the first service at least. Each service has
/// three members, of which the first leads, and a database of its own name. Every message takes one millisecond. Not
/// thread-safe.
class single_gateway {
public:
    struct options {
        std::size_t daemons = 30; ///< Registered daemons, this one included.
        std::size_t services = 20;
        std::uint32_t max_connections = 131; ///< Of one member.
    };

    explicit single_gateway(const options& chosen);
    ~single_gateway();
    single_gateway(const single_gateway&) = delete;
    single_gateway& operator=(const single_gateway&) = delete;
    single_gateway(single_gateway&&) = delete;
    single_gateway& operator=(single_gateway&&) = delete;

    /// Advances the time.
    void run(duration length) { time_.run_until(time_.now() + length); }

    /// Runs `count` statements of callers of this daemon, spread over all services, one each `interval`.
    void run_own_statements(std::size_t count, duration interval);

    /// Runs `count` statements that other daemons relay here, spread over the services this daemon is assigned to.
    void run_relayed_statements(std::size_t count, duration interval);

    /// Registers a further daemon.
    void add_daemon();

    [[nodiscard]] std::size_t ticks() const { return ticks_; }     ///< Calls of gateway_engine::tick().
    [[nodiscard]] std::size_t answers() const { return answers_; } ///< Answers without a failure to statements.
    [[nodiscard]] std::size_t failures() const { return failures_; }
    [[nodiscard]] std::size_t relayed() const { return relayed_; }         ///< Statements that this daemon relayed.
    [[nodiscard]] std::size_t store_calls() const { return store_calls_; } ///< Calls of this daemon to the store.
    [[nodiscard]] const std::set<std::string>& peers() const { return peers_; } ///< Daemons it is connected to.

private:
    void start();
    void start_watcher();
    void wake();
    void deliver(const gateway_event& event);
    void perform(const member_command& command);
    void answer(connection_number connection, const member_query& query);
    void perform(const store_call& call);
    void perform(const peer_service_command& command);
    void advance_store();
    void note_answer(bool failed);
    [[nodiscard]] std::vector<relay_candidate> daemons() const;
    [[nodiscard]] std::map<std::string, std::uint32_t> limits() const;
    [[nodiscard]] bool is_assigned(const std::string& service) const;
    [[nodiscard]] std::string service_name(std::size_t index) const;
    [[nodiscard]] service_configuration configuration() const;
    [[nodiscard]] route route_of(const std::string& service) const;

    options options_;
    std::string self_;
    load::virtual_time time_;
    standin::store_model store_;
    std::unique_ptr<gateway_engine> engine_;
    std::unique_ptr<store_replica> watcher_; ///< Copy of the store that the other daemons have.
    instant next_wake_{};
    std::map<connection_number, std::string> connections_; ///< Member by connection.
    std::set<std::string> peers_;
    std::vector<session_number> sessions_;
    std::uint64_t last_number_ = 0;
    std::uint64_t random_state_ = 1;
    std::size_t ticks_ = 0;
    std::size_t answers_ = 0;
    std::size_t failures_ = 0;
    std::size_t relayed_ = 0;
    std::size_t store_calls_ = 0;
};

} // namespace citronfall
