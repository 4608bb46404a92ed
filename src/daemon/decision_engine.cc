#include "daemon/decision_engine.h"

#include "admission/admission_control.h"
#include "admission/request_deduplicator.h"
#include "citronfall/error_table.h"
#include "connection_pool/connection_pool.h"
#include "connection_share/connection_share_table.h"
#include "daemon/daemon_lifecycle.h"
#include "document/document_replicator.h"
#include "document/member_warm_up.h"
#include "document/unrecorded_change_detector.h"
#include "failover/failover_coordinator.h"
#include "group/status_poller.h"
#include "metrics/metrics_registry.h"
#include "request/request_engine.h"
#include "router/router.h"
#include "transaction/transaction_engine.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace citronfall {
namespace {

/// Timeout of a status call. Two calls fit into the default of `suspect_after`, 600 ms.
constexpr duration status_timeout = std::chrono::milliseconds(250);

template <class T>
void keep_earlier(std::optional<T>& earliest, const std::optional<T>& candidate)
{
    if (candidate && (!earliest || *candidate < *earliest)) {
        earliest = candidate;
    }
}

/// The error that is correct for a request which may be a retry. "Not run" applies to the current attempt only: an
/// earlier attempt with the same id may have run, unless the database has recorded the id as cancelled.
error_kind proved_kind(const caller_request& request, error_kind kind)
{
    const bool proves_id = kind == error_kind::cancelled || error_row_for(kind).effect != outcome::not_run;
    return request->retry && !proves_id ? error_kind::outcome_unknown : kind;
}

} // namespace

class decision_engine::impl {
public:
    explicit impl(decision_engine_options options)
        : options_(std::move(options)), router_({.data_center = options_.data_center, .random = options_.random})
    {
    }

    std::optional<error> build();
    void apply(const caller_request& request, instant now);
    void apply(const report_request& request, instant now);
    void apply(const upstream_event& event, instant now);
    void apply(const platform_event& event, instant now);
    void apply(const peer_event& event, instant now);
    void apply(const operator_config& config, instant now);
    void put_in_force(const operator_config& config, instant now);
    void apply(const drain_request& request, instant now);
    void apply(const document_check_result& event, instant now);
    void tick(instant now);
    void tick_shares(instant now) { shares_->tick(now); }
    [[nodiscard]] std::optional<instant> next() const;

private:
    struct open_request {
        caller_request request;
        instant at;
    };

    std::optional<error> build_transactions();
    std::optional<error> build_failover();
    std::optional<error> build_document();
    void request_failover_record(const std::string& group);
    void apply_record(const std::string& group, const platform_event& event, instant now);
    [[nodiscard]] operator_report report(const report_request& request, instant now) const;
    [[nodiscard]] std::vector<group_status> group_reports(instant now) const;
    void continue_transaction(const caller_request& request, instant now);
    void serve_waiting(const member_key& member, instant now);
    void return_connection(connection_number connection);
    void apply_status(const upstream_event& event, instant now);
    void observe_position(const member_key& member, const member_answer& statement_answer);
    [[nodiscard]] const group_view& view(const std::string& group) const;
    [[nodiscard]] std::string address(const member_key& member) const;
    std::optional<error> build_shares();
    void watch_members(instant now);
    void open_connections(const member_key& member, std::size_t wanted, instant now);
    void warm_connections(instant now);
    [[nodiscard]] std::uint32_t statement_limit(const member_key& member) const;
    [[nodiscard]] std::uint32_t needed_connections(const member_key& member) const;
    void answer(const caller_answer& proposed, instant now);
    void refuse(const caller_request& request, error_kind kind, const std::string& detail, instant now);
    std::uint64_t next_number() { return ++last_number_; }

    decision_engine_options options_;
    operator_config config_;
    std::map<std::string, group_view> views_;
    router router_;
    std::uint64_t last_number_ = 0;
    instant now_;
    metrics_registry metrics_;
    std::map<request_handle, open_request> open_requests_;
    admission_control admission_{{.config = [this]() -> const operator_config& { return config_; },
                                  .connections =
                                      [this](const member_key& member) {
                                          return statement_limit(member);
                                      }}};
    request_deduplicator deduplicator_;
    std::set<member_key> watched_; ///< Members that are polled: those to which the daemon holds a connection share.
    std::optional<connection_pool> connections_;
    std::optional<connection_share_table> shares_;
    std::optional<status_poller> poller_;
    std::optional<request_engine> requests_;
    std::optional<transaction_engine> transactions_;
    std::optional<daemon_lifecycle> lifecycle_;
    std::optional<failover_coordinator> failover_;
    std::optional<document_replicator> document_;
    bool config_supplied_ = false; ///< The embedding program supplies the configuration.
    std::optional<unrecorded_change_detector> change_detector_;
    member_warm_up warm_up_;
    std::map<std::uint64_t, std::string> record_reads_; ///< Group by number of a platform call.
};

std::optional<error> decision_engine::impl::build()
{
    auto connections =
        connection_pool::make({.send = options_.send,
                               .limit = [this](const member_key& member) { return statement_limit(member); },
                               .address = [this](const member_key& member) { return address(member); },
                               .next_number = [this] { return next_number(); },
                               .connect_timeout = [this] { return config_->limits->connect_timeout; },
                               .count =
                                   [this](std::string_view counter) {
                                       metrics_.count(counter);
                                   }});
    if (!ok(connections)) {
        return error_of(connections);
    }
    connections_.emplace(take(std::move(connections)));
    if (auto problem = build_shares()) {
        return problem;
    }
    poller_.emplace(status_poller_options{.send = options_.send,
                                          .address = [this](const member_key& member) { return address(member); },
                                          .next_number = [this] { return next_number(); },
                                          .interval = [this] { return config_->routing->status_interval; },
                                          .timeout =
                                              [] {
                                                  return status_timeout;
                                              }});
    auto requests = request_engine::make(
        {.routes = &router_,
         .view = [this](const std::string& group) -> const group_view& { return view(group); },
         .admit = [this](const caller_request& request, const member_key& member,
                         instant now) { return admission_.admit(request, member, now); },
         .enqueue = [this](const caller_request& request, const member_key& member,
                           instant now) { admission_.enqueue(request, member, now); },
         .withdraw = [this](request_handle handle) { admission_.withdraw(handle); },
         .ready = [this](const member_key& member, instant now) { return admission_.ready(member, now); },
         .take = [this](const member_key& member, instant now) { return admission_.take(member, now); },
         .exchange_ended = [this](request_handle handle, instant now) { admission_.finished(handle, now); },
         .request_ended = [this](request_handle handle, instant now) { admission_.ended(handle, now); },
         .acquire = [this](const member_key& member) { return connections_->acquire(member, now_); },
         .ensure_connections = [this](const member_key& member, std::size_t waiting,
                                      instant now) { open_connections(member, waiting, now); },
         .release = [this](connection_number connection) { return_connection(connection); },
         .discard = [this](connection_number connection) { connections_->discard(connection, now_); },
         .poll_group_status = [this](const std::string& group, instant now) { poller_->poll_now(group, now); },
         .observe_position =
             [this](const member_key& member, const member_answer& statement_answer) {
                 observe_position(member, statement_answer);
             },
         .next_number = [this] { return next_number(); },
         .send = options_.send,
         .answer = [this](const caller_answer& reply) { answer(reply, now_); },
         .random = options_.random,
         .retry_percent =
             [this] {
                 return config_->limits->retry_budget_percent;
             }});
    if (!ok(requests)) {
        return error_of(requests);
    }
    requests_.emplace(take(std::move(requests)));
    auto lifecycle = daemon_lifecycle::make({.work_in_progress =
                                                 [this] {
                                                     return requests_->in_progress() + transactions_->in_progress() +
                                                            (shares_->handing_over() ? 1 : 0);
                                                 },
                                             .log = options_.log,
                                             .stop = options_.stop,
                                             .drain_bound = options_.drain_bound});
    if (!ok(lifecycle)) {
        return error_of(lifecycle);
    }
    lifecycle_.emplace(take(std::move(lifecycle)));
    if (auto problem = build_transactions()) {
        return problem;
    }
    return build_failover();
}

std::optional<error> decision_engine::impl::build_transactions()
{
    // A connection that a transaction releases or closes may let a waiting request proceed.
    const auto then_serve_waiting = [this](const auto& give_back) {
        return [this, give_back](connection_number connection) {
            const auto member = connections_->member_of(connection);
            give_back(connection);
            if (member) {
                serve_waiting(*member, now_);
            }
        };
    };
    auto transactions = transaction_engine::make(
        {.view = [this](const std::string& group) -> const group_view& { return view(group); },
         .acquire = [this](const member_key& member) { return connections_->acquire(member, now_); },
         .ensure_connections = [this](const member_key& member, std::size_t waiting,
                                      instant now) { connections_->ensure_connections(member, waiting, now); },
         .release =
             then_serve_waiting([this](connection_number connection) { connections_->release(connection, now_); }),
         .discard =
             then_serve_waiting([this](connection_number connection) { connections_->discard(connection, now_); }),
         .next_number = [this] { return next_number(); },
         .secure_random = options_.secure_random,
         .send = options_.send,
         .answer = [this](const caller_answer& reply) { answer(reply, now_); },
         .commit =
             [this](const caller_request& request, const class_config& config, const member_key& member,
                    connection_number connection, instant now) {
                 if (!deduplicator_.first(request)) {
                     connections_->discard(connection, now); // Another request in progress uses the same id.
                     return;
                 }
                 requests_->start_commit(request, config, member, connection, now);
             },
         .resolve_commit =
             [this](const caller_request& request, const class_config* config, instant now) {
                 if (config != nullptr && !deduplicator_.first(request)) {
                     return; // The request gets the answer of the commit in progress.
                 }
                 refuse(request, error_kind::outcome_unknown,
                        "the transaction is not open in this daemon; its commit may have been run", now);
             }});
    if (!ok(transactions)) {
        return error_of(transactions);
    }
    transactions_.emplace(take(std::move(transactions)));
    return std::nullopt;
}

std::optional<error> decision_engine::impl::build_failover()
{
    auto failover = failover_coordinator::make(
        {.daemon = options_.daemon,
         .view = [this](const std::string& group) -> const group_view& { return view(group); },
         .last_answer = [this](const member_key& member) { return poller_->last_answer(member); },
         .last_call_failed = [this](const member_key& member) { return poller_->last_call_failed(member); },
         .address = [this](const member_key& member) { return address(member); },
         .control = [this](const member_key& member, const member_call& call,
                           instant now) { poller_->control(member, call, now); },
         .poll = [this](const std::string& group, instant now) { poller_->poll_now(group, now); },
         .platform = options_.platform,
         .peer = options_.peer,
         .encode = options_.encode_record,
         .decode = options_.decode_record,
         .next_number = [this] { return next_number(); },
         .random = options_.random,
         .automation_paused = [this](const std::string& group) { return change_detector_->automation_paused(group); },
         .count = [this](std::string_view counter) { metrics_.count(counter); },
         .log = options_.log});
    if (!ok(failover)) {
        return error_of(failover);
    }
    failover_.emplace(take(std::move(failover)));
    return build_document();
}

std::optional<error> decision_engine::impl::build_document()
{
    change_detector_.emplace(unrecorded_change_detector_options{
        .request_failover_record = [this](const std::string& group) { request_failover_record(group); },
        .log = options_.log});
    auto replicator = document_replicator::make(
        {.daemon = options_.daemon,
         .region = options_.region,
         .peer = options_.peer,
         .platform = options_.platform,
         .check = options_.check_document,
         .watch = options_.watch,
         .candidates = options_.candidates,
         .put_in_force = [this](const operator_config& config, instant now) { put_in_force(config, now); },
         .next_number = [this] { return next_number(); },
         .random = options_.random,
         .wall_ms = options_.wall_ms,
         .count = [this](std::string_view counter) { metrics_.count(counter); },
         .log = options_.log,
         .unrecorded_changes =
             [this](document_part_id part) {
                 std::vector<std::string> lines;
                 // A primary that was changed by hand concerns the declaration of groups, routing and maintenance.
                 if (part == document_part_id::databases || part == document_part_id::routing ||
                     part == document_part_id::maintenance) {
                     for (const unrecorded_change& each : change_detector_->list()) {
                         lines.push_back(each.text());
                     }
                 }
                 return lines;
             }});
    if (!ok(replicator)) {
        return error_of(replicator);
    }
    document_.emplace(take(std::move(replicator)));
    return std::nullopt;
}

void decision_engine::impl::request_failover_record(const std::string& group)
{
    const std::uint64_t number = next_number();
    record_reads_.emplace(number, group);
    options_.platform(platform_call{{.number = number,
                                     .operation = platform_operation::read,
                                     .key = "groups/" + group,
                                     .deadline = now_ + std::chrono::seconds(2)}});
}

void decision_engine::impl::apply_record(const std::string& group, const platform_event& event, instant now)
{
    if (event->failure || event->entry->revision == 0) {
        return;
    }
    const auto record = options_.decode_record(event->entry->value);
    if (ok(record)) {
        change_detector_->recorded(group, value_of(record)->primary, value_of(record)->term, value_of(record)->leader,
                                   now);
    }
}

std::vector<group_status> decision_engine::impl::group_reports(instant now) const
{
    std::vector<group_status> all;
    for (const auto& [name, declared] : config_->groups) {
        const group_view& known = view(name);
        group_status_fields fields{.group = name,
                                   .primary = known.primary().value_or(""),
                                   .term = known.term(),
                                   .applied = {},
                                   .weights = {},
                                   .automation_paused = change_detector_->automation_paused(name)};
        for (const member_config& member : declared->members) {
            fields.weights[member->name] = warm_up_.weight(member_key{{.group = name, .member = member->name}}, now);
        }
        for (const auto& [member, observation] : known->latest) {
            fields.applied[member] = observation->status->applied_index;
        }
        all.push_back(group_status{std::move(fields)});
    }
    return all;
}

operator_report decision_engine::impl::report(const report_request& request, instant now) const
{
    operator_report_fields fields{.handle = request->handle,
                                  .subject = request->subject,
                                  .daemon = options_.daemon,
                                  .state = lifecycle_->state_name(),
                                  .watching = document_->watching(),
                                  .daemons = document_->daemons(),
                                  .requests_in_progress = requests_->in_progress()};
    for (const unrecorded_change& each : change_detector_->list()) {
        fields.unrecorded_changes.push_back(each.text());
    }
    switch (request->subject) {
    case operator_subject::status:
        fields.sections = document_->status(now);
        break;
    case operator_subject::document:
    case operator_subject::overrides:
        fields.document = document_->in_force()->state;
        break;
    case operator_subject::groups:
        fields.groups = group_reports(now);
        break;
    case operator_subject::sessions:
    case operator_subject::drain:
        break;
    }
    return operator_report{std::move(fields)};
}

void decision_engine::impl::apply(const caller_request& request, instant now)
{
    now_ = now;
    metrics_.count("requests_received_total");
    if (!request->transaction.empty()) {
        continue_transaction(request, now);
        return;
    }
    if (!lifecycle_->accepts_work()) {
        const bool leaving = lifecycle_->leaving();
        refuse(request, leaving ? error_kind::leaving : error_kind::not_ready,
               leaving ? "the daemon is shutting down" : "the daemon has not loaded its document yet", now);
        return;
    }
    if (config_.tenant(request->tenant) == nullptr) {
        refuse(request, error_kind::unknown_tenant, "unknown tenant " + request->tenant, now);
        return;
    }
    const class_config* config = config_.find_class(request->tenant, request->class_name);
    if (config == nullptr) {
        refuse(request, error_kind::unknown_class, "unknown class " + request->class_name, now);
        return;
    }
    if (config_.group(request->group) == nullptr) {
        refuse(request, error_kind::unknown_group, "unknown group " + request->group, now);
        return;
    }
    open_requests_.emplace(request->handle, open_request{.request = request, .at = now});
    // A request without a deadline arrives with the maximum instant; it gets the deadline of its class.
    const caller_request bounded = with(request, [&](caller_request_fields& fields) {
        fields.deadline = std::min(fields.deadline, now + (*config)->deadline);
    });
    if (request->operation == caller_operation::begin) {
        transactions_->begin(bounded, *config, now);
        return;
    }
    if (const auto wait = deduplicator_.remaining_backoff(bounded, now)) {
        metrics_.count("requests_repeated_early_total");
        answer(caller_answer{{.handle = request->handle,
                              .failure = error_kind::overloaded,
                              .detail = "the request was refused before and is retried too early",
                              .session = request->session.value_or(session_token{}),
                              .retry_after = wait}},
               now);
        return;
    }
    if (!deduplicator_.first(bounded)) {
        metrics_.count("requests_repeated_total");
        return;
    }
    requests_->start(bounded, *config, now);
}

/// Accepts requests of open transactions even during a drain, because the drain waits for the transactions to end.
void decision_engine::impl::continue_transaction(const caller_request& request, instant now)
{
    const caller_request scoped_request = transactions_->scoped(request);
    open_requests_.emplace(request->handle, open_request{.request = scoped_request, .at = now});
    transactions_->handle(scoped_request, now);
}

void decision_engine::impl::serve_waiting(const member_key& member, instant now)
{
    transactions_->serve_waiting(member, now);
    requests_->serve_waiting(member, now);
}

/// Transactions that wait for a connection take precedence over requests.
void decision_engine::impl::return_connection(connection_number connection)
{
    const auto member = connections_->member_of(connection);
    connections_->release(connection, now_);
    if (member) {
        transactions_->serve_waiting(*member, now_);
    }
}

void decision_engine::impl::apply(const report_request& request, instant now)
{
    now_ = now;
    switch (request->kind) {
    case report_kind::health:
        options_.answer(health_report{
            {.handle = request->handle, .ready = lifecycle_->accepts_work(), .reason = lifecycle_->state_name()}});
        return;
    case report_kind::metrics:
        options_.answer(with(metrics_.report(request->handle), [this](metrics_report_fields& fields) {
            for (const auto& [counter, value] : options_.counters()) {
                fields.counters[counter] += value;
            }
        }));
        return;
    case report_kind::operators:
        options_.answer(report(request, now));
        if (request->subject == operator_subject::drain) {
            lifecycle_->drain(now);
        }
        return;
    }
}

void decision_engine::impl::apply(const upstream_event& event, instant now)
{
    now_ = now;
    if (poller_->contains(event->connection)) {
        apply_status(event, now);
        return;
    }
    const auto member = connections_->member_of(event->connection);
    const auto gained = connections_->apply(event, now);
    if (member && event->kind == upstream_event_kind::open_failed && connections_->connection_count(*member) == 0) {
        requests_->member_unreachable(*member, now);
    }
    if (transactions_->contains(event->connection)) {
        transactions_->apply(event, now);
    } else if (event->kind == upstream_event_kind::answered || event->kind == upstream_event_kind::failed) {
        requests_->apply(event, now);
    }
    if (gained) {
        serve_waiting(*gained, now);
    }
}

void decision_engine::impl::apply_status(const upstream_event& event, instant now)
{
    if (const auto member = poller_->member_of(event->connection)) {
        connections_->observe_status(*member, event, now);
    }
    const auto report = poller_->apply(event, now);
    if (report.observation) {
        const member_key& member = report.observation->member;
        const std::string& group = member->group;
        const auto before = view(group).primary();
        views_[group] = view(group).observe(report.observation->observation);
        router_.observe(view(group));
        if (const auto after = view(group).primary(); after != before) {
            options_.log("group " + group + ": primary " + after.value_or("unknown") + ", term " +
                         std::to_string(view(group).term()));
        }
        if (const auto primary = view(group).primary()) {
            change_detector_->observed(group, *primary, view(group).term(), now);
        }
        failover_->status_observed(member, now);
        transactions_->evidence_changed(group, now);
        requests_->evidence_changed(group, now);
    }
    for (const control_call_result& ended : report.ended_calls) {
        failover_->apply(ended, now);
    }
}

void decision_engine::impl::apply(const platform_event& event, instant now)
{
    now_ = now;
    metrics_.count("platform_calls_ended_total");
    if (shares_->apply(event, now)) {
        return;
    }
    if (const auto read = record_reads_.extract(event->number)) {
        apply_record(read.mapped(), event, now);
    } else if (!document_->apply(event, now)) {
        static_cast<void>(failover_->apply(event, now));
    }
}

void decision_engine::impl::apply(const peer_event& event, instant now)
{
    now_ = now;
    metrics_.count("peer_events_total");
    if (!config_supplied_) {
        document_->apply(event, now);
    }
    failover_->apply(event, now);
    shares_->apply(event, now);
}

void decision_engine::impl::apply(const document_check_result& event, instant now)
{
    now_ = now;
    document_->apply(event, now);
}

/// Handles a configuration that the embedding program supplies. The document is then not replicated through the
/// platform and peers.
void decision_engine::impl::apply(const operator_config& config, instant now)
{
    now_ = now;
    config_supplied_ = true;
    put_in_force(config, now);
}

void decision_engine::impl::put_in_force(const operator_config& config, instant now)
{
    config_ = config;
    std::set<member_key> members;
    for (const auto& [name, group] : config_->groups) {
        for (const member_config& member : group->members) {
            members.insert(member_key{{.group = name, .member = member->name}});
        }
        const std::size_t size = group->members.size();
        // Only configured members count towards a majority, so statuses of removed members are dropped.
        views_[name] = with(view(name), [&, &key = name](group_view_fields& fields) {
            fields.group = key;
            fields.member_count = size;
            std::erase_if(fields.latest, [&](const auto& entry) {
                return !members.contains(member_key{{.group = key, .member = entry.first}});
            });
        });
    }
    router_.configure(config_);
    watch_members(now);
    change_detector_->accept(config->maintenance, now);
    warm_up_.accept(config, now);
    failover_->configure(config, now);
    requests_->routes_changed(now);
    lifecycle_->document_accepted(now);
}

void decision_engine::impl::apply(const drain_request&, instant now)
{
    now_ = now;
    shares_->start_handover();
    lifecycle_->drain(now);
}

void decision_engine::impl::tick(instant now)
{
    now_ = now;
    shares_->tick(now);
    watch_members(now);
    warm_connections(now);
    poller_->tick(now);
    if (!config_supplied_) {
        document_->tick(now);
    }
    change_detector_->tick(now);
    failover_->tick(now);
    connections_->tick(now);
    transactions_->tick(now);
    requests_->tick(now);
    while (const auto follower = deduplicator_.take_expired(now)) {
        refuse(*follower, error_kind::outcome_unknown, "an earlier attempt with the same id is still in progress", now);
    }
    lifecycle_->tick(now);
}

std::optional<instant> decision_engine::impl::next() const
{
    std::optional<instant> earliest;
    keep_earlier(earliest, shares_->next());
    keep_earlier(earliest, poller_->next());
    if (!config_supplied_) {
        keep_earlier(earliest, document_->next());
    }
    keep_earlier(earliest, change_detector_->next());
    keep_earlier(earliest, failover_->next());
    keep_earlier(earliest, connections_->next());
    keep_earlier(earliest, transactions_->next());
    keep_earlier(earliest, requests_->next());
    keep_earlier(earliest, deduplicator_.next());
    keep_earlier(earliest, lifecycle_->next());
    return earliest;
}

/// Records the log position in the answer to a statement, without waiting for the next status call.
void decision_engine::impl::observe_position(const member_key& member, const member_answer& statement_answer)
{
    const auto present = views_.find(member->group);
    if (present != views_.end()) {
        present->second = present->second.advance(member->member, statement_answer->term, statement_answer->position);
        router_.observe(present->second);
    }
}

const group_view& decision_engine::impl::view(const std::string& group) const
{
    static const group_view unknown;
    const auto found = views_.find(group);
    return found == views_.end() ? unknown : found->second;
}

std::uint32_t decision_engine::impl::statement_limit(const member_key& member) const
{
    // One connection of the share is used by the status poller.
    const std::uint32_t share = shares_->held(member);
    return share > 0 ? share - 1 : 0;
}

std::optional<error> decision_engine::impl::build_shares()
{
    auto shares = connection_share_table::make(
        {.daemon = options_.daemon,
         .incarnation = options_.incarnation,
         .config = [this]() -> const operator_config& { return config_; },
         .needed = [this](const member_key& member) { return needed_connections(member); },
         .open = [this](const member_key& member) { return connections_->connection_count(member) + 1; },
         .close_idle = [this](const member_key& member,
                              std::uint32_t count) { return connections_->close_idle(member, count, now_); },
         .close_all =
             [this](const std::string& group) {
                 for (const member_config& member : (*config_.group(group))->members) {
                     connections_->close_all(member_key{{.group = group, .member = member->name}}, now_);
                 }
             },
         .platform = options_.platform,
         .peer = options_.peer,
         .encode = options_.encode_ledger,
         .decode = options_.decode_ledger,
         .next_number = [this] { return next_number(); },
         .count =
             [this](std::string_view counter) {
                 metrics_.count(counter);
             }});
    if (!ok(shares)) {
        return error_of(shares);
    }
    shares_.emplace(take(std::move(shares)));
    return std::nullopt;
}

std::uint32_t decision_engine::impl::needed_connections(const member_key& member) const
{
    const auto waiting = static_cast<std::uint32_t>(admission_.waiting(member));
    const auto running = static_cast<std::uint32_t>(admission_.running(member));
    // More connections than the concurrency limit would stay idle. The additional one is for status calls.
    return 1 + std::min(waiting + running, admission_.target_concurrency(member));
}

void decision_engine::impl::open_connections(const member_key& member, std::size_t wanted, instant now)
{
    // Opens at most one connection per slot at a time. More would reach the member as a burst without running sooner.
    const group_config* group = config_.group(member->group);
    const std::size_t pace = group == nullptr ? 1 : (*group)->slots_per_member;
    connections_->ensure_connections(member, std::min(wanted, pace), now);
}

/// Opens connections in advance when the arrival rate of requests rises.
void decision_engine::impl::warm_connections(instant now)
{
    for (const member_key& member : watched_) {
        const std::uint32_t expected = admission_.expected_connections(member, now);
        const std::uint32_t held = connections_->connection_count(member);
        if (expected > held) {
            open_connections(member, expected - held, now);
        }
    }
}

void decision_engine::impl::watch_members(instant now)
{
    std::set<member_key> members;
    for (const auto& [name, group] : config_->groups) {
        for (const member_config& member : group->members) {
            const member_key key{{.group = name, .member = member->name}};
            if (shares_->held(key) > 0) {
                members.insert(key);
            }
        }
    }
    if (members != watched_) {
        watched_ = members;
        poller_->set_members(members, now);
    }
}

std::string decision_engine::impl::address(const member_key& member) const
{
    const group_config* group = config_.group(member->group);
    if (group == nullptr) {
        return {};
    }
    const auto& members = (*group)->members;
    const auto found = std::find_if(members.begin(), members.end(),
                                    [&](const member_config& each) { return each->name == member->member; });
    return found == members.end() ? std::string{} : (*found)->address;
}

void decision_engine::impl::answer(const caller_answer& proposed, instant now)
{
    const auto found = open_requests_.find(proposed->handle);
    const caller_answer reply = found == open_requests_.end() || !proposed->failure
                                    ? proposed
                                    : with(proposed, [&](caller_answer_fields& fields) {
                                          fields.failure = proved_kind(found->second.request, *fields.failure);
                                      });
    std::vector<caller_request> followers;
    if (found != open_requests_.end()) {
        const caller_request request = found->second.request;
        metrics_.record("request_seconds", request->tenant, request->class_name, now - found->second.at);
        open_requests_.erase(found);
        followers = deduplicator_.ended(request);
        if (reply->failure && reply->retry_after) {
            deduplicator_.refused(request, *reply->retry_after, now);
        }
    }
    metrics_.count(reply->failure
                       ? "requests_failed_total{kind=\"" + std::string(error_row_for(*reply->failure).name) + "\"}"
                       : std::string("requests_done_total"));
    options_.answer(reply);
    for (const caller_request& follower : followers) {
        answer(with(reply,
                    [&](caller_answer_fields& fields) {
                        fields.handle = follower->handle;
                        // The session of this attempt may have seen later positions than that of the first one.
                        const session_token seen = follower->session.value_or(session_token{});
                        for (const auto& [group, position] : seen->positions) {
                            fields.session = fields.session.seen(group, position);
                        }
                    }),
               now);
    }
}

void decision_engine::impl::refuse(const caller_request& request, error_kind kind, const std::string& detail,
                                   instant now)
{
    answer(caller_answer{{.handle = request->handle,
                          .failure = proved_kind(request, kind),
                          .detail = detail,
                          .session = request->session.value_or(session_token{}),
                          .close_connection = kind == error_kind::leaving}},
           now);
}

result<std::unique_ptr<decision_engine>> decision_engine::make(decision_engine_options options)
{
    auto all = std::make_unique<impl>(std::move(options));
    if (const auto problem = all->build()) {
        return *problem;
    }
    return std::unique_ptr<decision_engine>(new decision_engine(std::move(all)));
}

decision_engine::decision_engine(std::unique_ptr<impl> all) : impl_(std::move(all)) {}

decision_engine::~decision_engine() = default;

void decision_engine::handle(const decision_event& event, instant now)
{
    // After a pause of the process, shares that have expired must be dropped before the event uses them.
    impl_->tick_shares(now);
    std::visit([&](const auto& each) { impl_->apply(each, now); }, event);
    impl_->tick(now);
}

void decision_engine::tick(instant now)
{
    impl_->tick(now);
}

std::optional<instant> decision_engine::next() const
{
    return impl_->next();
}

} // namespace citronfall
