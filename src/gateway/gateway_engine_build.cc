#include "gateway/gateway_engine.h"

#include "citronfall/error_table.h"
#include "overload/memory_plan.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Time between two watches, to batch changes. A new configuration must take effect on all daemons within seconds; the
/// entries of members and daemons change several at a time when instances start.
constexpr duration configuration_batch_delay = std::chrono::milliseconds(20);
constexpr duration entry_batch_delay = std::chrono::milliseconds(400);

/// Time before the drain bound at which a draining member gets no new work, because the change may be noticed late: a
/// batch, a digest a second later and the calls themselves.
constexpr duration listed_drain_reserve = std::chrono::milliseconds(2000);

} // namespace

result<done> gateway_engine::build()
{
    const auto log_notable = [this](const std::string& event, const std::string& fields) {
        log(log_priority::notable, event, fields);
    };
    options_.service_directory.log = log_notable;
    directory_ = std::make_unique<service_directory>(options_.service_directory);
    build_relay();
    for (const auto& step :
         {&gateway_engine::build_pool, &gateway_engine::build_replica, &gateway_engine::build_registrar,
          &gateway_engine::build_quota, &gateway_engine::build_sessions, &gateway_engine::build_lifecycle,
          &gateway_engine::build_start}) {
        if (auto built = (this->*step)(); !ok(built)) {
            return built;
        }
    }
    return done{};
}

result<done> gateway_engine::build_pool()
{
    const auto log_notable = [this](const std::string& event, const std::string& fields) {
        log(log_priority::notable, event, fields);
    };
    auto pool = member_pool::make(
        {.send = options_.send_member_command,
         .idle = [this](const std::string& member,
                        instant now) { dispatcher_->place_waiting(service_of(member), now); },
         .answered = [this](const std::string& member, const member_reply& reply, instant,
                            instant now) { member_answered(member, reply, now); },
         .reachability_changed = [this](const std::string& member, member_reachability reachability,
                                        instant now) { reachability_changed(member, reachability, now); },
         .log = log_notable},
        options_.settings->drain_bound - listed_drain_reserve);
    if (!ok(pool)) {
        return error_of(pool);
    }
    pool_ = take(std::move(pool));
    const auto proved = [this](const std::string& service, const std::string& member, const log_position& position,
                               instant sent_at, instant now) {
        leadership_proved(service, member, position, sent_at, now);
    };
    const auto service = [this](const std::string& name) -> service_state& {
        return services_[name];
    };
    monitor_ = std::make_unique<leader_monitor>(
        leader_monitor_hooks{.service = service,
                             .leadership_proved = proved,
                             .leadership_lost = [this](const std::string& name, const std::string& member,
                                                       const char* reason,
                                                       instant now) { leadership_lost(name, member, reason, now); },
                             .log = log_notable},
        *pool_);
    auto dispatcher =
        statement_dispatcher::make({.finished =
                                        [this](const task_request& request, const task_outcome& outcome, instant now) {
                                            if (statement_relay::is_relayed_session(request->session)) {
                                                statement_relay_->finished(request, outcome, now);
                                            } else {
                                                note_quota_outcome(request, outcome, now);
                                                sessions_->finished(request, outcome, now);
                                            }
                                        },
                                    .service = service,
                                    .leadership_proved = proved,
                                    .leadership_refused = [this](const std::string& name, const std::string& member,
                                                                 instant now) { monitor_->refused(name, member, now); },
                                    .connection_lost =
                                        [this](connection_number connection, instant now) {
                                            if (!statement_relay_->relayed_connection_lost(connection)) {
                                                sessions_->connection_lost(connection, now);
                                            }
                                        },
                                    .phase_ended = [this](const route& matched_route, statement_phase phase,
                                                          duration took) { note_phase(matched_route, phase, took); },
                                    .random = options_.random,
                                    .log =
                                        [this](const std::string& event, const std::string& fields) {
                                            log(log_priority::routine, event, fields);
                                        }},
                                   *pool_, options_.settings->data_center);
    if (!ok(dispatcher)) {
        return error_of(dispatcher);
    }
    dispatcher_ = take(std::move(dispatcher));
    return done{};
}

result<done> gateway_engine::build_replica()
{
    const gateway_settings& settings = options_.settings;
    auto replica = store_replica::make(
        {.self = watcher_candidate{{.name = settings->name,
                                    .data_center = settings->data_center,
                                    .capacity = daemon_capacity(settings->processor_cores, settings->link_mbps)}},
         .ranges = {{.prefix = options_.configuration_prefix,
                     .batch_delay = configuration_batch_delay,
                     .starts_stale = false},
                    {.prefix = options_.service_directory.keys.members, .batch_delay = entry_batch_delay},
                    {.prefix = options_.own_prefix, .batch_delay = entry_batch_delay, .has_daemons = true}},
         .first_start = settings->first_start,
         .call = [this](call_body body, duration timeout) { return call_store(std::move(body), timeout); },
         .changed = [this](const store_item& item, store_era era) { apply_store_item(item, era); },
         .send =
             [this](const std::string& peer, const peer_message& message) {
                 options_.send_peer_command(outgoing_peer_message{{.to = peer, .message = message}});
             },
         .random = options_.random,
         .log =
             [this](const std::string& event, const std::string& fields) {
                 log(log_priority::notable, event, fields);
             }});
    if (!ok(replica)) {
        return error_of(replica);
    }
    replica_ = take(std::move(replica));
    return done{};
}

result<done> gateway_engine::build_registrar()
{
    const gateway_settings& settings = options_.settings;
    auto registrar = daemon_registrar::make(
        {.self = daemon_registration{{.name = settings->name,
                                      .peer_address = settings->peer_listen,
                                      .data_center = settings->data_center,
                                      .capacity = daemon_capacity(settings->processor_cores, settings->link_mbps),
                                      .incarnation = options_.incarnation}},
         .keys = options_.service_directory.keys,
         .claim_order =
             [this](const std::string& lock) {
                 return is_quota_lock(lock) ? quota_claim_order(lock) : relay_directory_.own_position(lock);
             },
         .uses_lock =
             [this](const std::string& service) {
                 const auto change = primary_changes_.find(service);
                 return change != primary_changes_.end() && change->second->in_progress();
             },
         .lasting_locks = quota_locks(),
         .claims_lasting_locks = [this] { return has_quotas_; },
         .fences_enforced = settings->fences_enforced,
         .call = [this](call_body body, duration timeout) { return call_store(std::move(body), timeout); },
         .encode_daemon = options_.encode_daemon,
         .encode_failover_lock = options_.encode_failover_lock,
         .log =
             [this](const std::string& event, const std::string& fields) {
                 log(log_priority::notable, event, fields);
             }},
        *directory_);
    if (!ok(registrar)) {
        return error_of(registrar);
    }
    registrar_ = take(std::move(registrar));
    return done{};
}

result<done> gateway_engine::build_sessions()
{
    auto sessions = session_table::make(
        {.reply = options_.send_reply,
         .find_route = [this](const std::string& database) { return directory_->find_route(database); },
         .identify = [this](const route& matched_route,
                            const std::string& key) { return identify(matched_route, key); },
         .refuse_start = [this](instant now) -> std::optional<error_kind> {
             if (!lifecycle_->accepts(now)) {
                 return error_kind::leaving;
             }
             return start_->accepts_callers() ? std::nullopt : std::optional(error_kind::not_ready);
         },
         .submit = [this](const task_request& request, instant now) { return submit(request, now); },
         .cancel = [this](task_number task, instant now) { cancel(task, now); },
         .expire = [this](task_number task, instant now) { expire(task, now); },
         .release = [this](connection_number connection, instant now) { release(connection, now); },
         .locate = [this](task_number task) { return locate(task); },
         .peer_of = [this](connection_number connection) { return statement_relay_->peer_of(connection); },
         .answered =
             [this](const route& matched_route, const task_outcome& outcome, duration took) {
                 metrics_.record("request_seconds", matched_route->service, matched_route->name, took);
                 if (outcome->failure) {
                     metrics_.count("requests_failed_total{kind=\"" +
                                    std::string(error_row_for((*outcome->failure)->kind).name) + "\"}");
                 } else {
                     metrics_.count("requests_done_total");
                 }
             },
         .ended = [this](const session_end& end) { report_session_end(end); },
         .log =
             [this](const std::string& event, const std::string& fields) {
                 const bool usual = event == "request_answered" && fields.find("outcome=done") != std::string::npos;
                 log(usual ? log_priority::routine : log_priority::notable, event, fields);
             },
         .max_kept_bytes = plan_memory(options_.settings->memory_mb)->session_state});
    if (!ok(sessions)) {
        return error_of(sessions);
    }
    sessions_ = take(std::move(sessions));
    return done{};
}

result<done> gateway_engine::build_lifecycle()
{
    auto lifecycle = gateway_lifecycle::make(
        {.grace = options_.settings->grace,
         .set_ready =
             [this](bool ready) {
                 ready_ = ready;
                 options_.set_ready(ready);
             },
         .release_registration =
             [this](instant now) {
                 announce_leave();
                 registrar_->leave(now);
             },
         .works_for_peers = [this] { return statement_relay_->works_for_peers(); },
         .end_relayed_transactions = [this](instant now) { statement_relay_->end_idle_transactions(now); },
         .stop = options_.stop,
         .call_at = [this](instant due, std::function<void(instant)> call) { timers_.arm(due, std::move(call)); },
         .random = options_.random,
         .log =
             [this](const std::string& event, const std::string& fields) {
                 log(log_priority::notable, event, fields);
             }},
        *sessions_);
    if (!ok(lifecycle)) {
        return error_of(lifecycle);
    }
    lifecycle_ = take(std::move(lifecycle));
    return done{};
}

result<done> gateway_engine::build_start()
{
    auto start = daemon_start::make(
        {.connect =
             [this](instant now) {
                 if (!options_.settings->first_start) {
                     pool_->expect_former_connections(now);
                 }
                 directory_changed_ = true;
             },
         .accept_callers =
             [this](instant now) {
                 next_services_tick_ = now;
                 tick_wanted_ = true;
             },
         .call_at = [this](instant due, std::function<void(instant)> call) { timers_.arm(due, std::move(call)); },
         .log =
             [this](const std::string& event, const std::string& fields) {
                 log(log_priority::notable, event, fields);
             }});
    if (!ok(start)) {
        return error_of(start);
    }
    start_ = take(std::move(start));
    return done{};
}

result<done> gateway_engine::add_primary_change(const std::string& service)
{
    auto change = primary_change::make(
        {.service = service,
         .daemon = options_.settings->name,
         .fence = [this, service](instant now) { return registrar_->fence(service, now); },
         .raise_fence = [this, service](instant now) { registrar_->raise_fence(service, now); },
         .fence_refused = [this, service](std::uint64_t fence) { registrar_->fence_refused(service, fence); },
         .ask_peers = [this, service](const std::string& member, term_number term,
                                      instant now) { return ask_peers(service, member, term, now); },
         .call = [this](call_body body, duration timeout) { return call_store(std::move(body), timeout); },
         .state = [this, service]() -> service_state& { return services_[service]; },
         .sync_replicas =
             [this, service] {
                 const auto& services = (*directory_->configuration())->services;
                 const auto found = services.find(service);
                 return found == services.end() ? 0U : found->second->sync_replicas;
             },
         .read_status = options_.read_status,
         .at = [this](instant due, std::function<void(instant)> call) { timers_.arm(due, std::move(call)); },
         .log =
             [this](const std::string& event, const std::string& fields) {
                 log(log_priority::notable, event, fields);
             }},
        *pool_);
    if (!ok(change)) {
        return error_of(change);
    }
    primary_changes_[service] = take(std::move(change));
    return done{};
}

} // namespace citronfall
