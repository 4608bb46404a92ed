#include "gateway/gateway_engine.h"

#include "overload/memory_plan.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// How long a daemon keeps looking for the primary of a service after a peer relayed a statement of it. Longer than
/// daemons may differ on the assignment: with 74 daemons a change of registrations takes up to 4 s to reach all.
constexpr duration relayed_service_retention = std::chrono::seconds(10);

} // namespace

void gateway_engine::build_relay()
{
    statement_relay_hooks hooks{
        .send =
            [this](const std::string& peer, const peer_message& message) {
                options_.send_peer_command(outgoing_peer_message{{.to = peer, .message = message}});
            },
        .run = [this](const task_request& request, instant now) { return dispatcher_->submit(request, now); },
        .accepts = [this] { return !lifecycle_->leaving(); },
        .target =
            [this](const task_request& request) {
                const std::string target = relay_target(request);
                return relay_directory_.is_leaving(target) ? std::string{} : target;
            },
        .cancel = [this](task_number task, instant now) { dispatcher_->cancel(task, now); },
        .release = [this](connection_number connection, instant now) { pool_->release(connection, now); },
        .finished =
            [this](const task_request& request, const task_outcome& outcome, instant now) {
                note_quota_outcome(request, outcome, now);
                note_phase(request->matched_route, statement_phase::relayed, now - outcome->sent_at);
                sessions_->finished(request, outcome, now);
            },
        .connection_lost = [this](connection_number connection,
                                  instant now) { sessions_->connection_lost(connection, now); },
        .log = [this](const std::string& event,
                      const std::string& fields) { log(log_priority::routine, event, fields); },
        .max_running_bytes = plan_memory(options_.settings->memory_mb)->peer_input};
    statement_relay_ = std::make_unique<statement_relay>(std::move(hooks), options_.incarnation);
}

/// Assigns daemons to the services in use, and remembers those whose leases have expired.
void gateway_engine::assign_daemons()
{
    std::set<std::string> listed{options_.settings->name};
    std::vector<relay_candidate> others;
    std::vector<watcher_candidate> watcher_candidates;
    for (const auto& [name, entry] : directory_->daemons()) {
        if (listed.insert(name).second) {
            others.push_back(
                relay_candidate{{.name = name, .data_center = entry->data_center, .capacity = entry->capacity}});
            watcher_candidates.push_back(
                watcher_candidate{{.name = name, .data_center = entry->data_center, .capacity = entry->capacity}});
        }
    }
    replica_->set_daemons(std::move(watcher_candidates));
    std::map<std::string, std::uint32_t> limits;
    for (const std::string& service : directory_->used_services()) {
        expired_daemons_.update(service, relay_directory_.assigned(service), listed, now_);
        const auto& services = (*directory_->configuration())->services;
        const auto found = services.find(service);
        limits[service] = found == services.end() ? 0 : found->second->max_connections;
    }
    relay_directory_.set_tenant_shares(tenant_shares());
    relay_directory_.configure(limits, others, now_);
}

/// Share of each tenant in the load that the operators allow. Tenants without a limit count as small, because nothing
/// tells their size.
std::map<std::string, double> gateway_engine::tenant_shares() const
{
    std::map<std::string, double> shares;
    if (!directory_->configuration()) {
        return shares;
    }
    double total = 0;
    for (const auto& [name, policy] : (*directory_->configuration())->tenants) {
        shares[name] = policy->rate_per_s;
        total += policy->rate_per_s;
    }
    for (auto& [name, share] : shares) {
        share = total > 0 ? share / total : 0;
    }
    return shares;
}

bool gateway_engine::is_relayed_here(const std::string& service, instant now) const
{
    const auto found = relayed_here_at_.find(service);
    return found != relayed_here_at_.end() && now - found->second <= relayed_service_retention;
}

/// Peers may learn of a new assignment before this daemon does, and of its end later.
void gateway_engine::note_relayed_here(const std::string& service, instant now)
{
    relayed_here_at_[service] = now;
    if (!direct_services_.contains(service) && directory_->used_services().contains(service)) {
        tick_services(now);
    }
}

/// Of the daemons to which the statement can be relayed, the one with the fewest pending answers; empty if there is
/// none.
std::string gateway_engine::relay_target(const task_request& request)
{
    const std::vector<std::string>& targets =
        relay_directory_.targets(request->matched_route->service, request->tenant);
    const auto best =
        std::min_element(targets.begin(), targets.end(), [this](const std::string& a, const std::string& b) {
            return statement_relay_->pending_answers(a) < statement_relay_->pending_answers(b);
        });
    return best == targets.end() ? std::string{} : *best;
}

/// Tells the peer thread which daemons there are, and which of them to stay connected to.
void gateway_engine::send_candidates()
{
    std::set<std::string> pinned = replica_->followed();
    for (const auto& [name, since] : relay_directory_.pinned()) {
        pinned.insert(name);
    }
    for (std::uint32_t group = 0; has_quotas_ && group < quota_group_count; ++group) {
        pinned.insert(listed_quota_holder(group));
    }
    peer_candidates_fields candidates;
    for (const auto& [name, entry] : directory_->daemons()) {
        if (name == options_.settings->name || entry->peer_address.empty()) {
            continue;
        }
        candidates.addresses.push_back(entry->peer_address);
        if (pinned.contains(name)) {
            candidates.pinned.push_back(entry->peer_address);
        }
    }
    options_.send_peer_command(peer_candidates{std::move(candidates)});
}

void gateway_engine::announce_leave()
{
    leaving_ = true;
    options_.send_peer_command(outgoing_peer_message{{.to = {}, .message = leave_notice{}}});
}

/// Connects to other daemons at once, because the peer's registration may be listed for seconds.
void gateway_engine::note_peer_leaves(const std::string& peer)
{
    log(log_priority::notable, "peer_leaves", "peer=" + peer);
    relay_directory_.leaves(peer, now_);
    directory_changed_ = true;
}

/// Runs a statement, unless it begins an operation of a tenant whose quota does not admit it.
task_number gateway_engine::submit(const task_request& request, instant now)
{
    const bool begins_operation = request->kind != transaction_step::in_transaction;
    return begins_operation && quota_gate_->limits(request->tenant) ? submit_limited(request, now)
                                                                    : submit_admitted(request, now);
}

void gateway_engine::cancel(task_number task, instant now)
{
    // What is cancelled may have run: its admission is not given back.
    if (!cancel_quota_operation(task, now) && !statement_relay_->cancel(task)) {
        dispatcher_->cancel(task, now);
    }
}

void gateway_engine::expire(task_number task, instant now)
{
    if (!expire_quota_operation(task, now) && !statement_relay_->expire(task, now)) {
        dispatcher_->expire(task, now);
    }
}

std::optional<statement_location> gateway_engine::locate(task_number task) const
{
    if (quota_operations_.contains(task)) {
        return statement_location{{.stage = statement_stage::queued}};
    }
    const auto relayed = statement_relay_->locate(task);
    return relayed ? relayed : dispatcher_->locate(task);
}

/// Runs a statement here, or relays it to a connected daemon that is assigned to its service if this daemon is not.
/// Statements of a transaction follow the first one.
task_number gateway_engine::submit_admitted(const task_request& request, instant now)
{
    if (request->kind == transaction_step::in_transaction) {
        const std::string peer = statement_relay_->peer_of(request->connection);
        return peer.empty() ? dispatcher_->submit(request, now) : statement_relay_->submit(peer, request, now);
    }
    const bool direct = request->tenant.empty() && direct_services_.contains(request->matched_route->service);
    const std::string target = direct ? std::string{} : relay_target(request);
    return target.empty() ? dispatcher_->submit(request, now) : statement_relay_->submit(target, request, now);
}

void gateway_engine::release(connection_number connection, instant now)
{
    if (statement_relay::is_remote_connection(connection)) {
        statement_relay_->end(connection);
    } else {
        pool_->release(connection, now);
    }
}

} // namespace citronfall
