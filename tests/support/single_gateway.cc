#include "support/single_gateway.h"

#include "relay/assigned_daemons.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citronfall {
namespace {

using namespace std::chrono_literals;

constexpr duration message_delay = 1ms;
constexpr duration service_time = 5ms; ///< Run time of a caller's statement.
constexpr duration store_advance_interval = 50ms;
constexpr std::size_t members_per_service = 3;
constexpr standin::store_client_number watcher_client = 1;

std::string member_name(const std::string& service, std::size_t index)
{
    return service + "." + std::to_string(index);
}

std::string service_of_member(const std::string& member)
{
    return member.substr(0, member.find('.'));
}

std::string daemon_name(std::size_t index)
{
    return "frontend-" + std::to_string(index);
}

bool leads(const std::string& member)
{
    return member.ends_with(".0");
}

/// What a member answers, apart from the connection.
member_reply_fields reply_of(const std::string& member, const member_query& query)
{
    member_reply_fields reply{.position = log_position{{.term = 1, .index = 100}}};
    if (std::holds_alternative<begin_read_write>(query->body)) {
        if (leads(member)) {
            reply.state = transaction_state::open;
        } else {
            reply.failure = error{{.kind = error_kind::not_primary}};
        }
    } else if (std::holds_alternative<begin_read_only>(query->body)) {
        reply.state = transaction_state::open;
    }
    if (!query->request_id.empty()) {
        reply.receipt = "receipt";
        reply.rows = {"row"};
    }
    return reply;
}

} // namespace

single_gateway::single_gateway(const options& chosen)
    : options_(chosen), store_({.promote = [](const promote_member&, instant) {
          return call_outcome::conflict;
      }})
{
    self_ = assigned_daemons(limits(), daemons()).at(service_name(0)).front();
    store_.write("op/config", "configuration", 0, time_.now());
    for (std::size_t i = 0; i < options_.services; ++i) {
        for (std::size_t member = 0; member < members_per_service; ++member) {
            store_.write("members/" + member_name(service_name(i), member), "member", 0, time_.now());
        }
    }
    for (const relay_candidate& each : daemons()) {
        if (each->name != self_) {
            store_.write("own/daemons/" + each->name, "daemon", 0, time_.now());
        }
    }
    start_watcher();
    start();
    advance_store();
    run(5s);
    for (std::size_t i = 0; i < options_.services; ++i) {
        const session_number session = ++last_number_;
        sessions_.push_back(session);
        deliver(caller_event(caller_connected{{.session = session, .database = service_name(i)}}));
    }
    run(1s);
}

single_gateway::~single_gateway() = default;

std::vector<relay_candidate> single_gateway::daemons() const
{
    std::vector<relay_candidate> all;
    for (std::size_t i = 0; i < options_.daemons; ++i) {
        all.push_back(relay_candidate{{.name = daemon_name(i), .data_center = "dc"}});
    }
    return all;
}

std::map<std::string, std::uint32_t> single_gateway::limits() const
{
    std::map<std::string, std::uint32_t> limits;
    for (std::size_t i = 0; i < options_.services; ++i) {
        limits[service_name(i)] = options_.max_connections;
    }
    return limits;
}

bool single_gateway::is_assigned(const std::string& service) const
{
    const auto assigned = assigned_daemons(limits(), daemons()).at(service);
    return std::find(assigned.begin(), assigned.end(), self_) != assigned.end();
}

std::string single_gateway::service_name(std::size_t index) const
{
    return "service" + std::to_string(index);
}

route single_gateway::route_of(const std::string& service) const
{
    return route{{.name = service,
                  .database = service,
                  .service = service,
                  .consistency = read_consistency::read_your_writes,
                  .statement_timeout = 800ms,
                  .target_latency = 250ms,
                  .max_staleness = 1500ms,
                  .priority = 1}};
}

service_configuration single_gateway::configuration() const
{
    service_configuration_fields fields{.version = 1};
    for (std::size_t i = 0; i < options_.services; ++i) {
        const std::string service = service_name(i);
        fields.routes[service] = route_of(service);
        fields.services[service] = service_policy{{.name = service, .max_connections = options_.max_connections}};
    }
    fields.idle_transaction_limit = 3s;
    return service_configuration{std::move(fields)};
}

void single_gateway::start()
{
    auto engine = gateway_engine::make(
        {.settings = gateway_settings{{.name = self_, .region = "r", .data_center = "dc"}},
         .incarnation = 1,
         .send_reply =
             [this](const caller_reply& reply) {
                 if (const auto* answered = std::get_if<statement_reply>(&reply)) {
                     note_answer((*answered)->failure.has_value());
                 }
             },
         .send_member_command = [this](const member_command& command) { perform(command); },
         .send_store_call = [this](const store_call& call) { perform(call); },
         .send_peer_command = [this](const peer_service_command& command) { perform(command); },
         .write_log = [](const log_line&, instant) {},
         .set_ready = [](bool) {},
         .publish_metrics = [](const metrics_report&) {},
         .publish_report = [](const gateway_report&) {},
         .reload = [] {},
         .stop = [] {},
         .random =
             [this](std::uint64_t below) {
                 random_state_ = random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
                 return (random_state_ >> 33U) % below;
             },
         .service_directory = {.keys = {.configuration = "op/config",
                                        .members = "members/",
                                        .daemons = "own/daemons/",
                                        .failover_locks = "own/duties/"},
                               .read_service_configuration =
                                   [this](std::string_view) { return result<service_configuration>(configuration()); },
                               .read_member =
                                   [](std::string_view id, std::string_view) {
                                       const std::string name(id);
                                       return result<member_registration>(
                                           member_registration{{.id = name,
                                                                .service = service_of_member(name),
                                                                .address = name,
                                                                .data_center = "dc",
                                                                .slots = 4}});
                                   },
                               .read_daemon =
                                   [](std::string_view name, std::string_view) {
                                       return result<daemon_registration>(
                                           daemon_registration{{.name = std::string(name),
                                                                .peer_address = std::string(name),
                                                                .data_center = "dc",
                                                                .incarnation = 1}});
                                   },
                               .read_failover_lock =
                                   [](std::string_view name, std::string_view value) {
                                       return result<failover_lock>(failover_lock{{.service = std::string(name),
                                                                                   .holder = std::string(value),
                                                                                   .incarnation = 1}});
                                   }},
         .configuration_prefix = "op/",
         .own_prefix = "own/",
         .encode_daemon = [](const daemon_registration&) { return std::string("daemon"); },
         .encode_failover_lock = [](const failover_lock& lock) { return lock->holder; },
         .read_status =
             [](const std::string&) {
                 return result<replication_status>(error{{.kind = error_kind::internal}});
             }});
    assert(ok(engine));
    engine_ = take(std::move(engine));
    wake();
}

/// The other daemons are represented by one that watches the store.
void single_gateway::start_watcher()
{
    auto watcher = store_replica::make(
        {.self = watcher_candidate{{.name = "watcher", .data_center = "dc"}},
         .ranges = {{.prefix = "op/"}, {.prefix = "members/"}, {.prefix = "own/"}},
         .call =
             [this](call_body body, duration timeout) {
                 const store_call call{{.number = ++last_number_, .timeout = timeout, .body = std::move(body)}};
                 time_.after(message_delay, [this, call] {
                     store_.perform(watcher_client, call, time_.now(),
                                    [this](const store_answer& answer) { watcher_->handle(answer, time_.now()); });
                 });
                 return call->number;
             },
         .changed = [](const store_item&, store_era) {},
         .send =
             [this](const std::string&, const peer_message& message) {
                 if (!peers_.empty()) {
                     deliver(
                         peer_event{{.from = *peers_.begin(), .kind = peer_event_kind::received, .message = message}});
                 }
             },
         .random = [](std::uint64_t) { return 0U; },
         .log =
             [](const std::string&, const std::string&) {
             }});
    assert(ok(watcher));
    watcher_ = take(std::move(watcher));
}

/// Does what the decision thread does when it wakes: performs work that is due, then sleeps until more is.
void single_gateway::wake()
{
    const instant now = time_.now();
    if (now >= engine_->next(now)) {
        ++ticks_;
        engine_->tick(now);
    }
    const instant due = std::max(engine_->next(now), now + message_delay);
    if (next_wake_ > now && next_wake_ <= due) {
        return;
    }
    next_wake_ = due;
    time_.at(due, [this, due] {
        if (next_wake_ == due) {
            next_wake_ = {};
            wake();
        }
    });
}

void single_gateway::deliver(const gateway_event& event)
{
    time_.after(message_delay, [this, event] {
        engine_->handle(event, time_.now());
        wake();
    });
}

void single_gateway::perform(const member_command& command)
{
    if (const auto* opening = std::get_if<open_member_connection>(&command)) {
        connections_[(*opening)->connection] = (*opening)->member;
        deliver(member_event(member_connection_opened{{.connection = (*opening)->connection}}));
    } else if (const auto* sent = std::get_if<send_queries>(&command)) {
        for (const member_query& query : (*sent)->queries) {
            answer((*sent)->connection, query);
        }
    } else if (const auto* closing = std::get_if<close_member_connection>(&command)) {
        connections_.erase((*closing)->connection);
    }
}

void single_gateway::answer(connection_number connection, const member_query& query)
{
    time_.after(query->request_id.empty() ? message_delay : service_time, [this, connection, query] {
        if (const auto found = connections_.find(connection); found != connections_.end()) {
            member_reply_fields reply = reply_of(found->second, query);
            reply.connection = connection;
            deliver(member_event(member_reply{std::move(reply)}));
        }
    });
}

void single_gateway::perform(const store_call& call)
{
    ++store_calls_;
    time_.after(message_delay, [this, call] {
        store_.perform(0, call, time_.now(), [this](const store_answer& answer) { deliver(answer); });
    });
}

void single_gateway::advance_store()
{
    store_.advance(time_.now());
    watcher_->tick(time_.now());
    time_.after(store_advance_interval, [this] { advance_store(); });
}

/// The other daemons accept connections from this one, have the same copy of the store, and answer what it relays.
void single_gateway::perform(const peer_service_command& command)
{
    if (const auto* candidates = std::get_if<peer_candidates>(&command)) {
        for (const std::string& each : (*candidates)->pinned) {
            if (peers_.insert(each).second) {
                watcher_->connected(self_, time_.now());
                deliver(peer_event{{.from = each, .kind = peer_event_kind::connected}});
            }
        }
        return;
    }
    const auto& message = std::get<outgoing_peer_message>(command);
    if (const auto* statement = std::get_if<relayed_statement>(&message->message)) {
        ++relayed_;
        const relayed_outcome outcome{
            {.number = (*statement)->number, .outcome = task_outcome{{.rows = {"row"}, .receipt = "receipt"}}}};
        time_.after(service_time, [this, from = message->to, outcome] {
            deliver(peer_event{{.from = from, .kind = peer_event_kind::received, .message = outcome}});
        });
    } else if (const auto* digest = std::get_if<store_digest>(&message->message)) {
        watcher_->handle(self_, *digest, time_.now());
    } else if (const auto* request = std::get_if<store_request>(&message->message)) {
        watcher_->handle(self_, *request);
    } else if (const auto* changes = std::get_if<store_changes>(&message->message)) {
        watcher_->handle(self_, *changes, time_.now());
    } else if (const auto* outcome = std::get_if<relayed_outcome>(&message->message)) {
        note_answer((*outcome)->outcome->failure.has_value());
    }
}

void single_gateway::note_answer(bool failed)
{
    ++(failed ? failures_ : answers_);
}

void single_gateway::run_own_statements(std::size_t count, duration interval)
{
    for (std::size_t i = 0; i < count; ++i) {
        deliver(caller_event(
            caller_statement{{.session = sessions_[i % sessions_.size()],
                              .request_id = "q" + std::to_string(++last_number_),
                              .query = parsed_statement{{.verb = statement_verb::read, .text = "READ x"}}}}));
        run(interval);
    }
}

void single_gateway::run_relayed_statements(std::size_t count, duration interval)
{
    std::vector<std::string> services;
    for (std::size_t i = 0; i < options_.services; ++i) {
        if (is_assigned(service_name(i))) {
            services.push_back(service_name(i));
        }
    }
    for (std::size_t i = 0; i < count; ++i) {
        const std::string& service = services[i % services.size()];
        const task_request request{{.session = 1,
                                    .request_id = "r" + std::to_string(++last_number_),
                                    .query = parsed_statement{{.verb = statement_verb::read, .text = "READ x"}},
                                    .matched_route = route_of(service)}};
        deliver(peer_event{{.from = daemon_name(1) == self_ ? daemon_name(0) : daemon_name(1),
                            .kind = peer_event_kind::received,
                            .message = relayed_statement{{.number = last_number_, .request = request}}}});
        run(interval);
    }
}

void single_gateway::add_daemon()
{
    store_.write("own/daemons/" + daemon_name(options_.daemons++), "daemon", 0, time_.now());
}

} // namespace citronfall
