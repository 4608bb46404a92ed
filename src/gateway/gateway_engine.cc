#include "gateway/gateway_engine.h"

#include "citronfall/error_table.h"
#include "core/run_numbers.h"

#include <algorithm>
#include <exception>
#include <limits>
#include <utility>

namespace citronfall {
namespace {

/// Longest time between two ticks. It bounds the time until a stall of the process and an overdue answer are noticed,
/// and the delay of renewals, digests and metrics, which wait for the next tick so that they cause none of their own.
constexpr duration max_tick_interval = std::chrono::milliseconds(100);

/// Interval of ticks while the daemon drains, which bounds the delay of the close of a session.
constexpr duration drain_tick_interval = std::chrono::milliseconds(25);

/// A longer gap between two ticks means that the process was suspended or starved of CPU.
constexpr duration stall_limit = std::chrono::milliseconds(250);

/// Interval between two snapshots of the metrics.
constexpr duration metrics_interval = std::chrono::seconds(1);

/// Interval between two log lines about the connections of a member, and about the phases of statements.
constexpr duration connections_log_interval = std::chrono::seconds(5);

/// Age at which confirmed positions are discarded; staleness bounds are a few seconds at most.
constexpr duration position_lifetime = std::chrono::seconds(30);

/// Members whose entries expired during a store outage, or while they could not reach the store, register again within
/// two seconds.
constexpr duration reregistration_time = std::chrono::milliseconds(2500);

/// Time before the drain bound at which a member without an entry gets no new work, so that running statements can
/// finish.
constexpr duration unlisted_drain_reserve = std::chrono::milliseconds(1500);

/// A daemon that got an answer from the primary within this time counts as able to reach it.
constexpr duration reachability_window = std::chrono::milliseconds(700);

/// A daemon whose statement has waited for this long, without any other answer from the primary, suspects it as well.
constexpr duration overdue_answer_age = std::chrono::milliseconds(250);

} // namespace

gateway_engine::gateway_engine(gateway_engine_options options)
    : options_(std::move(options)),
      relay_directory_(relay_candidate{
          {.name = options_.settings->name,
           .data_center = options_.settings->data_center,
           .capacity = daemon_capacity(options_.settings->processor_cores, options_.settings->link_mbps)}}),
      keys_(options_.random(std::numeric_limits<std::uint64_t>::max())),
      last_suspicion_poll_(first_number_of_run(options_.incarnation))
{
}

result<std::unique_ptr<gateway_engine>> gateway_engine::make(gateway_engine_options options)
{
    std::unique_ptr<gateway_engine> engine(new gateway_engine(std::move(options)));
    if (const auto built = engine->build(); !ok(built)) {
        return error_of(built);
    }
    return engine;
}

void gateway_engine::handle(const gateway_event& event, instant now)
{
    now_ = now;
    try {
        std::visit([this, now](const auto& each) { on_event(each, now); }, event);
        finish_event(now);
    } catch (const std::exception& problem) {
        note_failure("decision", problem.what());
        abandon(event, now);
    }
}

/// Ends what an event that could not be handled concerns, so that nobody waits for its effect.
void gateway_engine::abandon(const gateway_event& event, instant now)
{
    try {
        if (const auto* caller = std::get_if<caller_event>(&event)) {
            sessions_->end_after_failure(std::visit([](const auto& each) { return each->session; }, *caller), now);
        } else if (const auto* member = std::get_if<member_event>(&event)) {
            pool_->discard(std::visit([](const auto& each) { return each->connection; }, *member), now);
        }
        finish_event(now);
    } catch (const std::exception& problem) {
        note_failure("decision", problem.what());
    }
}

void gateway_engine::note_failure(const std::string& thread, const std::string& what)
{
    metrics_.count("internal_errors_total{thread=\"" + thread + "\"}");
    log(log_priority::notable, "internal_error", "thread=" + thread + " detail=\"" + what + "\"");
}

void gateway_engine::on_event(const thread_failure& failure, instant now)
{
    static_cast<void>(now);
    note_failure(failure->thread, failure->what);
}

void gateway_engine::tick(instant now)
{
    now_ = now;
    try {
        perform_due(now);
        finish_event(now);
    } catch (const std::exception& problem) {
        note_failure("decision", problem.what());
    }
}

void gateway_engine::perform_due(instant now)
{
    if (last_tick_ != instant{} && now - last_tick_ > stall_limit) {
        log(log_priority::notable, "process_stalled", "for_ms=" + std::to_string((now - last_tick_).count() / 1000));
        monitor_->note_process_stall(now);
        pool_->note_process_stall(now);
    }
    last_tick_ = now;
    const bool wanted = std::exchange(tick_wanted_, false);
    while (const auto due = timers_.pop_due(now)) {
        (*due)(now);
    }
    replica_->tick(now);
    if (relay_directory_.replace_unreachable(now)) {
        send_candidates();
    }
    registrar_->tick(now);
    directory_changed_ = directory_->expire(now) || directory_changed_;
    pool_->tick(now);
    if (wanted || now >= next_services_tick_ || (monitor_->next() && now >= *monitor_->next())) {
        tick_services(now);
    }
    statement_relay_->tick(now);
    tick_quotas(now);
    dispatcher_->tick(now);
    const duration idle_limit =
        directory_->configuration() ? (*directory_->configuration())->idle_transaction_limit : duration{};
    statement_relay_->end_overdue_transactions(idle_limit, now);
    sessions_->tick(idle_limit, now);
    lifecycle_->set_can_serve(
        start_->accepts_callers() && (pool_->open_connections() > 0 || relay_directory_.relays_somewhere()), now);
    lifecycle_->tick(now);
    if (now >= next_connections_log_) {
        next_connections_log_ = now + connections_log_interval;
        for (const auto& [id, member] : pool_->members()) {
            if (!member.all.empty()) {
                log(log_priority::notable, "member_connections", pool_->describe(member));
            }
        }
        log_phases();
    }
    if (now >= next_metrics_) {
        next_metrics_ = now + metrics_interval;
        publish_metrics(now);
    }
}

instant gateway_engine::next(instant now) const
{
    if (tick_wanted_) {
        return now;
    }
    instant due = last_tick_ + (lifecycle_->draining() ? drain_tick_interval : max_tick_interval);
    for (const auto& each : {timers_.next(), dispatcher_->next(), statement_relay_->next(), replica_->next(),
                             monitor_->next(), pool_->next(), directory_->next_expiry(), quota_gate_->next()}) {
        due = each ? std::min(due, *each) : due;
    }
    return std::max(due, now);
}

/// Reports finished statements and applies changes to the directory after an event or a tick.
void gateway_engine::finish_event(instant now)
{
    dispatcher_->report(now);
    finish_quota_work(now);
    start_->update({.configured = directory_->configuration() != nullptr, .listed = replica_->has_daemons()}, now);
    if (std::exchange(directory_changed_, false)) {
        reconfigure(now);
        dispatcher_->report(now);
        finish_quota_work(now);
    }
    if (!start_->accepts_callers() && relay_directory_.reaches_all_services()) {
        start_->relays_connected(now);
        tick_services(now); // Further callers may come before the next tick.
        sessions_->admit_delayed_starts(now);
        dispatcher_->report(now);
    }
}

void gateway_engine::on_event(const caller_event& event, instant now)
{
    sessions_->handle(event, now);
}

void gateway_engine::on_event(const member_event& event, instant now)
{
    pool_->handle(event, now);
    tick_wanted_ = tick_wanted_ || !ready_; // The first connection lets the daemon report ready.
}

void gateway_engine::on_event(const store_answer& answer, instant now)
{
    registrar_->note_era(answer->era, now);
    if (replica_->handle(answer, now)) {
        return;
    }
    if (registrar_->handle(answer, now)) {
        tick_wanted_ = true; // The next step of a registration or a claim follows at once.
        return;
    }
    for (const auto& [service, change] : primary_changes_) {
        if (change->handle(answer, now)) {
            return;
        }
    }
}

void gateway_engine::on_event(const peer_event& event, instant now)
{
    tick_wanted_ = tick_wanted_ || event->kind != peer_event_kind::received; // The direct services may change.
    switch (event->kind) {
    case peer_event_kind::connected:
        log(log_priority::notable, "peer_connected", "peer=" + event->from);
        relay_directory_.connected(event->from, now);
        replica_->connected(event->from, now);
        if (leaving_) {
            options_.send_peer_command(outgoing_peer_message{{.to = event->from, .message = leave_notice{}}});
        }
        return;
    case peer_event_kind::disconnected:
        log(log_priority::notable, "peer_lost",
            "peer=" + event->from + " reason=" + peer_close_reason_name(event->reason));
        relay_directory_.disconnected(event->from, now);
        replica_->disconnected(event->from);
        statement_relay_->disconnected(event->from, now);
        quota_gate_->disconnected(event->from, now);
        return;
    case peer_event_kind::received:
        on_peer_message(event->from, event->message, now);
        return;
    }
}

void gateway_engine::on_event(const control_event& event, instant now)
{
    switch (event) {
    case control_event::terminate:
        log(log_priority::notable, "signal", "kind=terminate");
        lifecycle_->terminate(now);
        return;
    case control_event::reload:
        log(log_priority::notable, "signal", "kind=reload");
        options_.reload();
        return;
    }
}

void gateway_engine::on_peer_message(const std::string& peer, const peer_message& message, instant now)
{
    if (const auto* digest = std::get_if<store_digest>(&message)) {
        replica_->handle(peer, *digest, now);
        registrar_->note_era(replica_->era(), now);
    } else if (const auto* request = std::get_if<store_request>(&message)) {
        replica_->handle(peer, *request);
    } else if (const auto* items = std::get_if<store_changes>(&message)) {
        replica_->handle(peer, *items, now);
    } else if (const auto* query = std::get_if<suspicion_query>(&message)) {
        answer_suspicion(peer, *query, now);
    } else if (const auto* reply = std::get_if<suspicion_reply>(&message)) {
        for (const auto& [service, change] : primary_changes_) {
            change->peer_answered((*reply)->number, (*reply)->suspects, now);
        }
    } else if (const auto* statement = std::get_if<relayed_statement>(&message)) {
        note_relayed_here((*statement)->request->matched_route->service, now);
        statement_relay_->handle(peer, *statement, now);
    } else if (const auto* outcome = std::get_if<relayed_outcome>(&message)) {
        statement_relay_->handle(peer, *outcome, now);
    } else if (const auto* end = std::get_if<relayed_end>(&message)) {
        statement_relay_->handle(peer, *end, now);
    } else if (std::holds_alternative<leave_notice>(message)) {
        note_peer_leaves(peer);
    } else if (const auto* notice = std::get_if<primary_notice>(&message)) {
        handle_primary_notice(*notice, now);
    } else if (const auto* asked = std::get_if<quota_request>(&message)) {
        options_.send_peer_command(outgoing_peer_message{{.to = peer, .message = answer_quota_request(*asked, now)}});
    } else if (const auto* granted = std::get_if<quota_grant>(&message)) {
        quota_gate_->handle(*granted, now);
    }
}

/// Tells a peer whether this daemon suspects the primary as well, and which member leads if that is another one.
void gateway_engine::answer_suspicion(const std::string& peer, const suspicion_query& query, instant now)
{
    if (!direct_services_.contains(query->group)) {
        return; // This daemon relays the statements of the service, so it has no connections to judge by.
    }
    const leadership_view& leadership = services_[query->group].leadership;
    const pooled_member* leader = leadership.leader() ? pool_->member(*leadership.leader()) : nullptr;
    const auto answered_at = leader != nullptr ? leader->health.answered_at() : std::nullopt;
    const auto oldest = leader != nullptr ? pool_->oldest_exchange_sent_at(*leadership.leader()) : std::nullopt;
    const bool overdue = oldest && answered_at && now - std::max(*oldest, *answered_at) > overdue_answer_age;
    const bool reaches = answered_at && now - *answered_at < reachability_window && !overdue;
    log(log_priority::notable, "suspicion_asked",
        "service=" + query->group + " member=" + query->member + " peer=" + peer +
            " reaches=" + (reaches ? "yes" : "no"));
    options_.send_peer_command(outgoing_peer_message{
        {.to = peer,
         .message = suspicion_reply{{.number = query->number, .suspects = !reaches, .term = leadership.term()}}}});
    if (reaches && *leadership.leader() != query->member) {
        options_.send_peer_command(outgoing_peer_message{
            {.to = peer,
             .message = primary_notice{
                 {.service = query->group, .member = *leadership.leader(), .term = leadership.term()}}}});
    }
}

void gateway_engine::handle_primary_notice(const primary_notice& notice, instant now)
{
    if (direct_services_.contains(notice->service) &&
        services_[notice->service].leadership.leader() != notice->member) {
        log(log_priority::notable, "primary_told", "service=" + notice->service + " member=" + notice->member);
        monitor_->probe(notice->service, notice->member, now);
    }
}

call_number gateway_engine::call_store(call_body body, duration timeout)
{
    const call_number number = ++last_call_;
    metrics_.count("store_calls_total");
    options_.send_store_call(store_call{{.number = number, .timeout = timeout, .body = std::move(body)}});
    return number;
}

void gateway_engine::apply_store_item(const store_item& item, store_era era)
{
    const std::string& members = options_.service_directory.keys.members;
    const bool departed = item->deleted && item->key.starts_with(members);
    directory_->apply(item, era, departed ? departure_of(item->key.substr(members.size())) : member_departure{});
    tick_wanted_ = true;
    if (item->key.starts_with(options_.service_directory.keys.failover_locks)) {
        registrar_->directory_changed(now_); // Locks change neither members nor assignments.
        if (is_quota_lock(item->key.substr(options_.service_directory.keys.failover_locks.size()))) {
            send_candidates(); // This daemon stays connected to the holders of quotas.
        }
        return;
    }
    directory_changed_ = true;
    if (item->key == options_.service_directory.keys.configuration) {
        replica_->announce();
    }
}

member_departure gateway_engine::departure_of(const std::string& member) const
{
    const pooled_member* known = pool_->member(member);
    const auto failed_at = replica_->store_failed_at();
    const bool store_failed_recently = failed_at && now_ - *failed_at < reregistration_time;
    if (known != nullptr && known->health.reachability() == member_reachability::reachable) {
        return {.drain_at = now_ + reregistration_time,
                .remove_at =
                    now_ + std::max(options_.settings->drain_bound - unlisted_drain_reserve, reregistration_time)};
    }
    const instant gone_at = store_failed_recently ? now_ + reregistration_time : now_;
    return {.drain_at = gone_at, .remove_at = gone_at};
}

/// Applies the current contents of the directory to the pool, the primary changes and the peer connections.
void gateway_engine::reconfigure(instant now)
{
    const auto& configuration = directory_->configuration();
    if (published_configuration_ != configuration && options_.publish_configuration) {
        published_configuration_ = configuration;
        options_.publish_configuration(configuration);
    }
    assign_daemons();
    if (start_->may_connect()) {
        configure_pool(now);
    }
    configure_quotas(now);
    update_keys(now);
    add_primary_changes(now);
    sessions_->admit_delayed_starts(now);
    send_candidates();
    registrar_->directory_changed(now);
    pool_->tick(now);
    tick_wanted_ = true;
}

/// Sets the members and the shares of their connections.
void gateway_engine::configure_pool(instant now)
{
    const auto& configuration = directory_->configuration();
    const std::set<std::string>& used_services = directory_->used_services();
    std::map<std::string, connection_share> shares;
    for (const std::string& service : used_services) {
        const auto& services = (*configuration)->services;
        const auto found = services.find(service);
        shares[service] = {.limit = found == services.end() ? 0 : found->second->max_connections,
                           .holders = relay_directory_.assigned(service).size(),
                           .is_holder = relay_directory_.is_assigned(service),
                           .position = relay_directory_.own_position(service).value_or(0)};
    }
    std::map<std::string, member_registration> members;
    for (const auto& [id, entry] : directory_->members()) {
        if (used_services.contains(entry->service)) {
            members.emplace(id, entry);
        }
    }
    pool_->configure(members, shares, now);
}

void gateway_engine::add_primary_changes(instant now)
{
    static_cast<void>(now);
    for (const std::string& service : directory_->used_services()) {
        if (primary_changes_.contains(service)) {
            continue;
        }
        if (const auto added = add_primary_change(service); !ok(added)) {
            log(log_priority::notable, "internal_error", "detail=\"" + error_of(added)->detail + "\"");
        }
    }
}

void gateway_engine::leadership_proved(const std::string& service, const std::string& member,
                                       const log_position& position, instant sent_at, instant now)
{
    service_state& state = services_[service];
    const bool changed = state.leadership.proved(member, position->term, sent_at);
    if (state.leadership.leader() != member) {
        return;
    }
    state.primary_positions.add(position_observation{{.sent_at = sent_at, .position = position}});
    state.primary_positions.forget_before(now - position_lifetime);
    if (!changed) {
        return;
    }
    log(log_priority::notable, "leader_found",
        "service=" + service + " member=" + member + " position=" + std::to_string(position->term) + "." +
            std::to_string(position->index));
    if (const auto change = primary_changes_.find(service); change != primary_changes_.end()) {
        const bool own_change = change->second->in_progress();
        change->second->leader_found(member, position->term, now);
        if (own_change) {
            options_.send_peer_command(outgoing_peer_message{
                {.to = {},
                 .message = primary_notice{{.service = service, .member = member, .term = state.leadership.term()}}}});
        }
    }
    dispatcher_->place_waiting(service, now);
}

void gateway_engine::leadership_lost(const std::string& service, const std::string& member, const char* reason,
                                     instant now)
{
    static_cast<void>(now);
    tick_wanted_ = true; // The search for the next leader and the change of primary start at once.
    metrics_.count("leaders_lost_total");
    log(log_priority::notable, "leader_lost",
        "service=" + service + " member=" + member + " reason=" + reason +
            " term=" + std::to_string(services_[service].leadership.term()));
}

void gateway_engine::member_answered(const std::string& member, const member_reply& reply, instant now)
{
    if (reply->position) {
        service_state& state = services_[service_of(member)];
        state.replica_lags[member].answered(*reply->position, state.primary_positions, now);
    }
}

void gateway_engine::reachability_changed(const std::string& member, member_reachability reachability, instant now)
{
    log(log_priority::notable, "member_reach", "member=" + member + " reach=" + member_reachability_name(reachability));
    monitor_->reachability_changed(service_of(member), member, reachability, now);
}

std::string gateway_engine::service_of(const std::string& member) const
{
    const pooled_member* known = pool_->member(member);
    return known == nullptr ? std::string{} : known->entry->service;
}

void gateway_engine::tick_services(instant now)
{
    next_services_tick_ = now + max_tick_interval;
    if (!start_->may_connect()) {
        return; // Too few daemons may be known to tell which services this one is assigned to.
    }
    const std::set<std::string> before = std::exchange(direct_services_, {});
    for (const std::string& service : directory_->used_services()) {
        const bool cannot_relay = start_->accepts_callers() && relay_directory_.connected_to(service).empty();
        if (relay_directory_.is_assigned(service) || is_relayed_here(service, now) || cannot_relay) {
            direct_services_.insert(service);
            if (!before.contains(service)) {
                services_[service].leader_searched_since = now;
            }
        }
    }
    monitor_->tick(direct_services_, now);
    for (const auto& [service, change] : primary_changes_) {
        if (direct_services_.contains(service)) {
            change->tick(now);
        }
    }
}

suspicion_poll gateway_engine::ask_peers(const std::string& service, const std::string& member, term_number term,
                                         instant now)
{
    const std::uint64_t number = ++last_suspicion_poll_;
    const std::vector<std::string>& asked = relay_directory_.connected_to(service);
    const suspicion_query query{{.number = number, .group = service, .member = member, .term = term}};
    for (const std::string& peer : asked) {
        options_.send_peer_command(outgoing_peer_message{{.to = peer, .message = query}});
    }
    const std::vector<std::string>& assigned = relay_directory_.assigned(service);
    const auto others = assigned.size() -
                        static_cast<std::size_t>(std::count(assigned.begin(), assigned.end(), options_.settings->name));
    return {.number = number, .asked = asked.size(), .known = others + expired_daemons_.count(service, now)};
}

void gateway_engine::note_phase(const route& matched_route, statement_phase phase, duration took)
{
    phase_totals_.add(matched_route->consistency, phase, took);
    metrics_.record(std::string("statement_") + statement_phase_name(phase) + "_seconds", matched_route->service,
                    read_consistency_name(matched_route->consistency), took);
}

/// Logs how long statements spent in each phase since the last call.
void gateway_engine::log_phases()
{
    for (const std::string& line : std::exchange(phase_totals_, {}).describe()) {
        log(log_priority::notable, "statement_phases", line);
    }
}

void gateway_engine::publish_metrics(instant now)
{
    options_.publish_report(report(now));
    metrics_report report = metrics_.report(0);
    std::uint64_t granted = 0;
    for (const held_quota& each : quota_holder_->held(now)) {
        granted += each.granted_total;
    }
    report = with(report, [this, granted](metrics_report_fields& fields) {
        if (has_quotas_) {
            fields.counters["quota_requests_total"] = quota_gate_->requests_total();
            fields.counters["quota_granted"] = granted;
        }
        fields.counters["sessions"] = sessions_->size();
        fields.counters["held_bytes{part=\"session_state\"}"] = sessions_->kept_bytes();
        fields.counters["statements_in_progress"] = dispatcher_->size();
        fields.counters["member_connections"] = pool_->open_connections();
        fields.counters["member_connections_opened_total"] = pool_->opened_total();
        fields.counters["member_ramps_total"] = pool_->ramps_total();
        fields.counters["entries_unreadable_total"] = directory_->unreadable_total();
        fields.counters["configuration_version"] =
            directory_->configuration() ? (*directory_->configuration())->version : 0;
    });
    options_.publish_metrics(report);
}

void gateway_engine::log(log_priority priority, const std::string& event, const std::string& fields)
{
    options_.write_log(log_line{{.priority = priority, .event = event, .fields = fields}}, now_);
}

} // namespace citronfall
