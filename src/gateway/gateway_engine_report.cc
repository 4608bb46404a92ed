#include "gateway/gateway_engine.h"

namespace citronfall {

gateway_report gateway_engine::report(instant now) const
{
    const auto& configuration = directory_->configuration();
    gateway_report_fields fields{.daemon = options_.settings->name,
                                 .ready = ready_,
                                 .configuration_version = configuration ? (*configuration)->version : 0,
                                 .routes = configuration ? (*configuration)->routes.size() : 0,
                                 .sessions = sessions_->size(),
                                 .statements = dispatcher_->size(),
                                 .daemons = directory_->daemons().size(),
                                 .peers = relay_directory_.peers().size()};
    for (const std::string& service : directory_->used_services()) {
        fields.services.push_back(report_service(service, now));
    }
    for (const auto& [id, each] : pool_->members()) {
        const auto known = services_.find(each.entry->service);
        fields.members.push_back(
            {.id = id,
             .service = each.entry->service,
             .address = each.entry->address,
             .reachability = member_reachability_name(each.health.reachability()),
             .leads = known != services_.end() && known->second.leadership.leader() == id,
             .draining = each.entry->draining,
             .listed = each.listed,
             .connections = each.all.size(),
             .idle = each.idle.size(),
             .running = each.running,
             .allowance = each.pace.ramping() ? std::optional(each.pace.allowance()) : std::nullopt});
    }
    report_quotas(fields, now);
    return gateway_report{std::move(fields)};
}

void gateway_engine::report_quotas(gateway_report_fields& fields, instant now) const
{
    for (const gated_quota& each : quota_gate_->quotas()) {
        if (each.admitted_total + each.refused_total + each.waiting == 0) {
            continue;
        }
        reported_quota reported{.tenant = each.tenant,
                                .rate_per_s = each.rate_per_s,
                                .burst = each.burst,
                                .admitted = each.admitted_total,
                                .refused = each.refused_total,
                                .waiting = each.waiting};
        for (std::uint32_t part = 0; part < quota_part_count; ++part) {
            reported.holders.push_back(listed_quota_holder(quota_group(each.tenant, part)));
        }
        fields.quotas.push_back(std::move(reported));
    }
    for (const held_quota& each : quota_holder_->held(now)) {
        if (each.granted_total + each.declined_total > 0) {
            fields.quota_parts.push_back({.tenant = each.tenant,
                                          .part = each.part,
                                          .level = each.level,
                                          .granted = each.granted_total,
                                          .declined = each.declined_total});
        }
    }
}

void gateway_engine::report_session_end(const session_end& end)
{
    admitted_operations_.erase(end->session);
    metrics_.count("sessions_ended_total{reason=\"" + std::string(session_end_reason_name(end->reason)) + "\"}");
    metrics_.count("statements_unanswered_total", end->pending.size());
    log(end->pending.empty() ? log_priority::routine : log_priority::notable, "session_ended", log_fields(end));
    for (std::size_t i = 1; i < end->pending.size(); ++i) {
        log(log_priority::notable, "statement_unanswered",
            "session=" + std::to_string(end->session) + " reason=" + std::string(session_end_reason_name(end->reason)) +
                " " + log_fields(end->pending[i]));
    }
}

reported_service gateway_engine::report_service(const std::string& service, instant now) const
{
    reported_service reported{
        .name = service, .direct = direct_services_.contains(service), .waiting = dispatcher_->waiting(service)};
    if (const auto known = services_.find(service); known != services_.end()) {
        const service_state& state = known->second;
        reported.leader = state.leadership.leader().value_or("");
        reported.term = state.leadership.term();
        if (const auto newest = state.primary_positions.newest()) {
            reported.evidence_age = now - *newest;
        }
        if (const auto since = state.leadership.lost_since()) {
            reported.leaderless_for = now - *since;
        }
    }
    const auto lock = directory_->failover_locks().find(service);
    reported.failover_lock_holder = lock == directory_->failover_locks().end() ? "" : lock->second->holder;
    return reported;
}

} // namespace citronfall
