#pragma once

#include "caller_session/session_table.h"
#include "citronfall/instant.h"
#include "citronfall/metrics_report.h"
#include "citronfall/peer_service_command.h"
#include "citronfall/result.h"
#include "core/timer_queue.h"
#include "directory/service_directory.h"
#include "dispatch/statement_dispatcher.h"
#include "event_log/event_log.h"
#include "gateway/gateway_event.h"
#include "gateway/gateway_lifecycle.h"
#include "gateway/gateway_report.h"
#include "gateway/gateway_settings.h"
#include "leader/leader_monitor.h"
#include "metrics/metrics_registry.h"
#include "mirror/store_replica.h"
#include "pool/member_pool.h"
#include "primary_change/primary_change.h"
#include "registration/daemon_registrar.h"
#include "relay/expired_daemons.h"
#include "relay/relay_directory.h"
#include "relay/statement_relay.h"
#include "tenancy/key_directory.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace citronfall {

/// Options of a gateway engine. The hooks are called on the decision thread and must not block.
struct gateway_engine_options {
    gateway_settings settings;
    std::uint64_t incarnation = 0; ///< Distinguishes this process from earlier ones of the same name.
    std::function<void(const caller_reply&)> send_reply;
    std::function<void(const member_command&)> send_member_command;
    std::function<void(const store_call&)> send_store_call;
    std::function<void(const peer_service_command&)> send_peer_command;
    std::function<void(const log_line&, instant)> write_log;
    std::function<void(bool)> set_ready;
    std::function<void(const metrics_report&)> publish_metrics;
    std::function<void(const gateway_report&)> publish_report;
    std::function<void()> reload;
    std::function<void()> stop;
    std::function<std::uint64_t(std::uint64_t)> random; ///< Uniformly distributed number below its argument.
    service_directory_options service_directory;        ///< Decoders and keys; the engine sets `log`.
    std::string configuration_prefix;
    std::string own_prefix;
    std::function<std::string(const daemon_registration&)> encode_daemon;
    std::function<std::string(const failover_lock&)> encode_failover_lock;
    std::function<result<replication_status>(const std::string&)> read_status;
};

/// Decision logic of a daemon on the users' platform. Owns the mirrors of the store, the member pool, the leader
/// detection, the sessions and the life cycle of the daemon, and passes events between them.
///
/// Not thread-safe: owned by the decision thread.
class gateway_engine {
public:
    /// Error (bad_request): a chart does not match its bindings.
    [[nodiscard]] static result<std::unique_ptr<gateway_engine>> make(gateway_engine_options options);

    /// Handles an event from another thread.
    void handle(const gateway_event& event, instant now);

    /// Performs work that is due. Call it when next() is reached.
    void tick(instant now);

    /// State of the daemon, for operators.
    [[nodiscard]] gateway_report report(instant now) const;

    /// When tick() has to be called next.
    [[nodiscard]] instant next(instant now) const;

private:
    explicit gateway_engine(gateway_engine_options options);

    result<done> build();
    result<done> build_replica();
    result<done> build_registrar();
    result<done> build_pool();
    result<done> build_sessions();
    result<done> build_lifecycle();
    void build_relay();

    void on_event(const caller_event& event, instant now);
    void on_event(const member_event& event, instant now);
    void on_event(const store_answer& answer, instant now);
    void on_event(const peer_event& event, instant now);
    void on_event(const control_event& event, instant now);
    void on_event(const thread_failure& failure, instant now);
    void note_failure(const std::string& thread, const std::string& what);
    void abandon(const gateway_event& event, instant now);
    void perform_due(instant now);
    void on_peer_message(const std::string& peer, const peer_message& message, instant now);
    void answer_suspicion(const std::string& peer, const suspicion_query& query, instant now);
    void handle_primary_notice(const primary_notice& notice, instant now);
    void finish_event(instant now);

    task_number submit(const task_request& request, instant now);
    [[nodiscard]] result<std::string> identify(const route& matched_route, const std::string& key) const;
    void update_keys(instant now);
    void release(connection_number connection, instant now);
    void report_session_end(const session_end& end);
    [[nodiscard]] bool is_relayed_here(const std::string& service, instant now) const;
    void note_relayed_here(const std::string& service, instant now);
    [[nodiscard]] std::string relay_target(const task_request& request);
    [[nodiscard]] std::map<std::string, double> tenant_shares() const;
    void assign_daemons();
    void send_candidates();
    void announce_leave();
    void note_peer_leaves(const std::string& peer);
    call_number call_store(call_body body, duration timeout);
    void apply_store_item(const store_item& item, store_era era);
    void reconfigure(instant now);
    void add_primary_changes(instant now);
    void leadership_proved(const std::string& service, const std::string& member, const log_position& position,
                           instant sent_at, instant now);
    void leadership_lost(const std::string& service, const std::string& member, const char* reason, instant now);
    void member_answered(const std::string& member, const member_reply& reply, instant now);
    void reachability_changed(const std::string& member, member_reachability reachability, instant now);
    void tick_services(instant now);
    void publish_metrics(instant now);
    [[nodiscard]] reported_service report_service(const std::string& service, instant now) const;
    result<done> add_primary_change(const std::string& service);
    [[nodiscard]] suspicion_poll ask_peers(const std::string& service, const std::string& member, term_number term,
                                           instant now);
    [[nodiscard]] std::string service_of(const std::string& member) const;
    [[nodiscard]] member_departure departure_of(const std::string& member) const;
    void log(log_priority priority, const std::string& event, const std::string& fields);

    gateway_engine_options options_;
    instant now_{}; ///< Time of the event that is being handled.
    instant last_tick_{};
    bool tick_wanted_ = false; ///< An event has made work due at once.
    instant next_services_tick_{};
    instant next_metrics_{};
    instant next_connections_log_{};
    timer_queue<std::function<void(instant)>> timers_;
    std::unique_ptr<service_directory> directory_;
    std::unique_ptr<store_replica> replica_;
    std::unique_ptr<daemon_registrar> registrar_;
    std::unique_ptr<member_pool> pool_;
    std::unique_ptr<leader_monitor> monitor_;
    std::unique_ptr<statement_dispatcher> dispatcher_;
    std::unique_ptr<session_table> sessions_;
    std::unique_ptr<statement_relay> statement_relay_;
    std::unique_ptr<gateway_lifecycle> lifecycle_;
    std::map<std::string, service_state> services_;
    std::set<std::string> direct_services_; ///< Used services whose members this daemon connects to itself.
    relay_directory relay_directory_;
    key_directory keys_;
    std::uint64_t keys_version_ = 0;                 ///< Version of the configuration that the keys are from.
    std::map<std::string, instant> relayed_here_at_; ///< When a peer last relayed a statement here, by service.
    expired_daemons expired_daemons_;
    std::map<std::string, std::unique_ptr<primary_change>> primary_changes_;
    bool leaving_ = false; ///< This daemon has announced its shutdown to its peers.
    metrics_registry metrics_;
    call_number last_call_ = 0;
    std::uint64_t last_suspicion_poll_;
    bool directory_changed_ = false;
    bool ready_ = false; ///< As last reported to the readiness probe.
};

} // namespace citronfall
