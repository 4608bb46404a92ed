#include "gateway/gateway_engine.h"

#include "citronfall/error_table.h"
#include "core/run_numbers.h"
#include "relay/assigned_daemons.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Numbers of operations that wait for a quota; above those of statements that run here or on a peer.
constexpr task_number first_quota_operation = 1ULL << (run_number_bits + 1);

/// Daemons that may claim the lock of a group of quotas. More than can be expected to be lost at once.
constexpr std::size_t max_quota_claimants = 8;

/// Fraction of the largest capacity from which on a daemon is among the first to claim: the requests of all daemons
/// are much work for a small instance.
constexpr double large_fraction = 0.5;

error quota_refusal(duration retry_after)
{
    const auto back_ms = std::chrono::ceil<std::chrono::milliseconds>(retry_after).count();
    constexpr error_kind kind = error_kind::limit_reached;
    return error{
        {.kind = kind, .detail = std::string(error_row_for(kind).name) + " retry_after_ms=" + std::to_string(back_ms)}};
}

} // namespace

result<done> gateway_engine::build_quota()
{
    const quota_rule rule{{.window = options_.settings->quota_window,
                           .overage = options_.settings->quota_overage,
                           .slack = options_.settings->quota_slack}};
    auto gate = quota_gate::make({.daemon = options_.settings->name,
                                  .rule = rule,
                                  .first_request = first_number_of_run(options_.incarnation),
                                  .holder = [this](std::uint32_t group) { return reachable_quota_holder(group); },
                                  .send =
                                      [this](const std::string& daemon, const quota_request& request) {
                                          if (daemon == options_.settings->name) {
                                              own_quota_requests_.push_back(request);
                                          } else {
                                              options_.send_peer_command(
                                                  outgoing_peer_message{{.to = daemon, .message = request}});
                                          }
                                      },
                                  .decided =
                                      [this](quota_operation_number operation, const quota_admission& admission) {
                                          quota_decisions_.emplace_back(operation, admission);
                                      }});
    if (!ok(gate)) {
        return error_of(gate);
    }
    quota_gate_ = take(std::move(gate));
    quota_holder_ = std::make_unique<quota_holder>(
        quota_holder_options{.rule = rule, .log = [this](const std::string& event, const std::string& fields) {
                                 log(log_priority::notable, event, fields);
                             }});
    return done{};
}

/// The daemon whose lock on a group of quotas is listed, if it is this one or a connected peer.
std::string gateway_engine::reachable_quota_holder(std::uint32_t group) const
{
    const std::string holder = listed_quota_holder(group);
    return holder == options_.settings->name || relay_directory_.peers().contains(holder) ? holder : std::string{};
}

std::string gateway_engine::listed_quota_holder(std::uint32_t group) const
{
    const auto lock = directory_->failover_locks().find(quota_lock(group));
    return lock == directory_->failover_locks().end() ? std::string{} : lock->second->holder;
}

/// Position of this daemon among those that may claim the lock of a group of quotas; large instances come first. A
/// holder keeps its lock, since a new one begins with an empty bucket.
std::optional<std::size_t> gateway_engine::quota_claim_order(const std::string& lock) const
{
    const auto held = directory_->failover_locks().find(lock);
    if (held != directory_->failover_locks().end()) {
        return held->second->holder == options_.settings->name ? std::optional<std::size_t>(0) : std::nullopt;
    }
    double largest = 0;
    for (const auto& [name, entry] : directory_->daemons()) {
        largest = std::max(largest, entry->capacity);
    }
    const auto rank = [&](const daemon_registration& entry) {
        return std::pair(entry->capacity < largest * large_fraction, rendezvous_rank(lock, entry->name));
    };
    const auto own = directory_->daemons().find(options_.settings->name);
    if (own == directory_->daemons().end()) {
        return std::nullopt;
    }
    const auto before = std::count_if(directory_->daemons().begin(), directory_->daemons().end(),
                                      [&](const auto& each) { return rank(each.second) < rank(own->second); });
    const auto position = static_cast<std::size_t>(before);
    return position < max_quota_claimants ? std::optional(position) : std::nullopt;
}

/// Applies the configuration in force and the number of daemons to the quotas. Without effect if neither has changed.
void gateway_engine::configure_quotas(instant now)
{
    const auto& configuration = directory_->configuration();
    if (!configuration || (quota_version_ == (*configuration)->version && quota_daemons_ == daemon_count_.value(now))) {
        return;
    }
    std::map<std::string, quota_limit> limits;
    for (const auto& [name, tenant] : (*configuration)->tenants) {
        if (tenant->rate_per_s > 0) {
            limits.emplace(name, quota_limit{{.rate_per_s = tenant->rate_per_s, .burst = tenant->burst}});
        }
    }
    has_quotas_ = !limits.empty();
    quota_version_ = (*configuration)->version;
    quota_daemons_ = daemon_count_.value(now);
    quota_gate_->configure((*configuration)->version, limits, quota_daemons_, now);
    quota_holder_->configure((*configuration)->version, limits, now);
}

/// Updates which groups of quotas this daemon holds: those whose locks it holds, with a lease that has not ended.
void gateway_engine::update_held_quotas(instant now)
{
    std::map<std::uint32_t, std::uint64_t> held;
    for (std::uint32_t group = 0; has_quotas_ && group < quota_group_count; ++group) {
        if (const auto fence = registrar_->held_lasting_lock(quota_lock(group), now)) {
            held.emplace(group, *fence);
        }
    }
    quota_holder_->hold(held, now);
}

void gateway_engine::tick_quotas(instant now)
{
    daemon_count_.listed(directory_->daemons().size(), now);
    configure_quotas(now);
    update_held_quotas(now);
    quota_gate_->tick(now);
}

quota_grant gateway_engine::answer_quota_request(const quota_request& request, instant now)
{
    update_held_quotas(now);
    return quota_holder_->answer(request, now);
}

/// Runs an operation of a limited tenant, refuses it, or keeps it while a quota holder is asked.
task_number gateway_engine::submit_limited(const task_request& request, instant now)
{
    const task_number number = first_quota_operation + ++last_quota_operation_;
    const quota_admission admission = quota_gate_->admit(request->tenant, number, now);
    if (admission->decision == quota_decision::admitted) {
        admitted_operations_.insert_or_assign(request->session, admission);
        return submit_admitted(request, now);
    }
    quota_operations_.emplace(number, request);
    if (admission->decision == quota_decision::refused) {
        quota_decisions_.emplace_back(number, admission); // A refusal must not be reported before submit() returns.
    }
    return number;
}

/// Gives back the admission of an operation whose first statement no member has run.
void gateway_engine::note_quota_outcome(const task_request& request, const task_outcome& ended, instant now)
{
    const auto admitted = admitted_operations_.find(request->session);
    if (admitted == admitted_operations_.end()) {
        return;
    }
    // A lost transaction has run in part.
    const bool not_run = ended->failure && (*ended->failure)->kind != error_kind::transaction_lost &&
                         error_row_for((*ended->failure)->kind).effect == outcome::not_run;
    if (not_run) {
        quota_gate_->give_back(request->tenant, admitted->second, now);
    }
    admitted_operations_.erase(admitted);
}

/// Runs the operations that were admitted, reports those that were refused, and sends requests that are due.
void gateway_engine::finish_quota_work(instant now)
{
    quota_gate_->flush(now);
    while (!own_quota_requests_.empty() || !quota_decisions_.empty()) {
        for (const quota_request& each : std::exchange(own_quota_requests_, {})) {
            quota_gate_->handle(answer_quota_request(each, now), now);
        }
        for (const auto& [number, admission] : std::exchange(quota_decisions_, {})) {
            finish_quota_operation(number, admission, now);
        }
        dispatcher_->report(now);
        quota_gate_->flush(now);
    }
}

void gateway_engine::finish_quota_operation(task_number number, const quota_admission& admission, instant now)
{
    const auto found = quota_operations_.find(number);
    if (found == quota_operations_.end()) {
        return; // Its caller has left meanwhile.
    }
    const task_request request = found->second;
    quota_operations_.erase(found);
    if (admission->decision == quota_decision::admitted) {
        admitted_operations_.insert_or_assign(request->session, admission);
        const task_number task = submit_admitted(request, now);
        sessions_->renumber(request->session, number, task);
        return;
    }
    metrics_.count("quota_refused_total{tenant=\"" + request->tenant + "\"}");
    const error refusal = quota_refusal(admission->retry_after);
    log(log_priority::routine, "quota_refused",
        "id=" + request->request_id + " session=" + std::to_string(request->session) + " tenant=" + request->tenant +
            " retry_after_ms=" +
            std::to_string(std::chrono::ceil<std::chrono::milliseconds>(admission->retry_after).count()));
    fail_quota_operation(request, refusal, now);
}

void gateway_engine::fail_quota_operation(const task_request& request, const error& failure, instant now)
{
    const bool opens = request->kind != transaction_step::autocommit;
    const bool ends = request->query->verb == statement_verb::commit;
    sessions_->finished(request,
                        task_outcome{{.failure = failure,
                                      .state = opens && !ends ? transaction_state::failed : transaction_state::none}},
                        now);
}

/// Drops an operation that waits for a quota. Returns false if the number denotes none.
bool gateway_engine::cancel_quota_operation(task_number number, instant now)
{
    if (quota_operations_.erase(number) == 0) {
        return false;
    }
    quota_gate_->cancel(number, now);
    return true;
}

/// Ends an operation that waits for a quota as if its time were over. Returns false if the number denotes none.
bool gateway_engine::expire_quota_operation(task_number number, instant now)
{
    const auto found = quota_operations_.find(number);
    if (found == quota_operations_.end()) {
        return false;
    }
    const task_request request = found->second;
    cancel_quota_operation(number, now);
    fail_quota_operation(
        request, error{{.kind = error_kind::deadline_before_send, .detail = "the operation waited for its quota"}},
        now);
    return true;
}

} // namespace citronfall
