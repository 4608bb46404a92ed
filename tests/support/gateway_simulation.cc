#include "support/gateway_simulation.h"

#include <algorithm>
#include <cmath>
#include <sstream>
#include <stdexcept>
#include <utility>

#include <catch2/catch.hpp>

namespace citronfall {
namespace {

using namespace std::chrono_literals;

constexpr duration message_delay = 1ms; ///< Delay of every message.
constexpr std::size_t max_queued = 32;  ///< Statements that wait for a slot of a member.
constexpr duration promotion_time = 300ms;
constexpr duration first_retransmission = 200ms;
constexpr duration max_retransmission = 1600ms;
constexpr duration store_advance_interval = 50ms; ///< Interval of checks for due leases, watches and promotions.
constexpr duration start_spread = 300ms;          ///< Within which daemons start that were switched on together.
constexpr duration peer_connect_time = 30ms;      ///< From the start of a daemon to its connections with others.
constexpr duration lost_connection_time = 3s;     ///< For which members keep the connections of a daemon without power.
constexpr const char* service = "ledger";

bool starts_with(const std::string& text, const char* prefix)
{
    return text.rfind(prefix, 0) == 0;
}

parsed_statement parse_statement(const std::string& text)
{
    statement_verb verb = statement_verb::read;
    if (text == "BEGIN") {
        verb = statement_verb::begin;
    } else if (text == "BEGIN READ") {
        verb = statement_verb::begin_read_only;
    } else if (text == "COMMIT") {
        verb = statement_verb::commit;
    } else if (text == "ROLLBACK") {
        verb = statement_verb::rollback;
    } else if (starts_with(text, "WRITE")) {
        verb = statement_verb::write;
    }
    return parsed_statement{{.verb = verb, .text = text}};
}

std::string link_name(const char* kind, std::size_t daemon, std::uint64_t other)
{
    return kind + std::string(" ") + std::to_string(daemon) + " " + std::to_string(other);
}

/// Whether a statement changes a member's part in replication.
bool is_order(const member_query& query)
{
    return std::holds_alternative<pause_replication>(query->body) ||
           std::holds_alternative<resume_replication>(query->body) || std::holds_alternative<step_down>(query->body);
}

std::string fake_status_row(bool leads, const log_position& received, term_number paused_by)
{
    return std::to_string(leads) + " " + std::to_string(received->term) + " " + std::to_string(received->index) + " " +
           std::to_string(paused_by);
}

std::vector<std::string> member_ids(std::size_t count)
{
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < count; ++i) {
        ids.push_back("m" + std::to_string(i));
    }
    return ids;
}

/// A fake configuration is "VERSION MAX_CONNECTIONS SYNC_REPLICAS WORD...". A word is the name of a database, or
/// "TENANT=KEY", or "TENANT=KEY@RATE" for a tenant whose rate and burst are limited.
result<service_configuration> read_fake_deployment(std::string_view value)
{
    std::istringstream words{std::string(value)};
    service_configuration_fields fields;
    std::uint32_t connections = 0;
    std::uint32_t sync_replicas = 0;
    words >> fields.version >> connections >> sync_replicas;
    std::string database;
    while (words >> database) {
        if (const auto equals = database.find('='); equals != std::string::npos) {
            const std::string tenant = database.substr(0, equals);
            const std::string key = database.substr(equals + 1);
            const auto at = key.find('@');
            const double rate = at == std::string::npos ? 0 : std::stod(key.substr(at + 1));
            fields.tenants[tenant] =
                tenant_policy{{.name = tenant, .keys = {key.substr(0, at)}, .rate_per_s = rate, .burst = rate}};
            continue;
        }
        auto consistency = read_consistency::read_your_writes;
        if (database == "fresh") {
            consistency = read_consistency::primary;
        } else if (database == "aged") {
            consistency = read_consistency::bounded_staleness;
        }
        fields.routes[database] = route{{.name = database,
                                         .database = database,
                                         .service = service,
                                         .consistency = consistency,
                                         .statement_timeout = 800ms,
                                         .target_latency = 250ms,
                                         .max_staleness = 1500ms,
                                         .priority = 1}};
    }
    fields.services[service] =
        service_policy{{.name = service, .max_connections = connections, .sync_replicas = sync_replicas}};
    fields.idle_transaction_limit = 3s;
    return service_configuration{std::move(fields)};
}

/// A fake member entry is "ADDRESS STATE"; the state is "draining", "primary" (ready, and primary in its own view) or
/// "ready".
result<member_registration> read_fake_member(std::string_view id, std::string_view value)
{
    std::istringstream words{std::string(value)};
    std::string address;
    std::string state;
    words >> address >> state;
    return member_registration{{.id = std::string(id),
                                .service = service,
                                .address = address,
                                .data_center = "dc",
                                .slots = 3,
                                .draining = state == "draining",
                                .reports_primary = state == "primary"}};
}

result<daemon_registration> read_fake_daemon(std::string_view name, std::string_view value)
{
    return daemon_registration{
        {.name = std::string(name), .data_center = "dc", .incarnation = std::stoull(std::string(value))}};
}

result<failover_lock> read_fake_duty(std::string_view name, std::string_view value)
{
    std::istringstream words{std::string(value)};
    std::string holder;
    std::uint64_t incarnation = 0;
    words >> holder >> incarnation;
    return failover_lock{{.service = std::string(name), .holder = holder, .incarnation = incarnation}};
}

/// A fake status row is "LEADS TERM INDEX PAUSED_BY".
result<replication_status> read_fake_status(const std::string& row)
{
    std::istringstream words(row);
    bool leads = false;
    term_number term = 0;
    log_index index = 0;
    term_number paused_by = 0;
    words >> leads >> term >> index >> paused_by;
    return replication_status{{.leads = leads,
                               .term = term,
                               .received = log_position{{.term = term, .index = index}},
                               .paused_by = paused_by}};
}

} // namespace

struct gateway_simulation::simulated_daemon {
    /// A caller's connection as the daemon's caller thread sees it.
    struct caller_connection {
        message_count statements = 0; ///< Read from the caller.
        message_count answers = 0;
        bool reading = true;
        bool closed = false;

        void handle(const std::optional<close_offer>& offer)
        {
            if (offer) {
                reading = reading && !offer->last;
                closed = offer->received == statements;
            }
        }
    };

    std::unique_ptr<gateway_engine> engine;
    std::map<connection_number, std::string> connections; ///< Member by connection.
    std::map<connection_number, std::string> tenants{};   ///< Tenant by connection.
    std::map<session_number, std::vector<received_reply>> replies;
    std::map<session_number, caller_connection> callers;
    duration caller_event_delay = message_delay;
    bool ready = false;
    bool stopped = false;
    std::vector<log_line> log{};
    bool refused = false;
    bool throws = false; ///< Its next command to members throws.
    bool frozen = false;
    std::vector<gateway_event> waiting{}; ///< Events that arrived while it was frozen.
    std::uint64_t restarts = 0;
    std::set<std::uint64_t> polls{};
    bool isolated = false;       ///< Messages to and from other daemons are lost.
    std::set<std::string> cut{}; ///< Members to and from which messages are lost.
};

gateway_simulation::gateway_simulation(const options& chosen)
    : service_({.name = service,
                .members = member_ids(chosen.members),
                .replica_lag = chosen.replica_lag,
                .promotion_time = promotion_time,
                .max_connections = chosen.max_connections,
                .sync_replicas = chosen.sync_replicas,
                .status_row = fake_status_row}),
      store_({.promote =
                  [this](const promote_member& order, instant now) {
                      if (promotions_to_reject_ > 0) {
                          --promotions_to_reject_;
                          return call_outcome::conflict;
                      }
                      const bool accepted =
                          !members_.at(order->member).silenced && service_.promote(order->member, now);
                      return accepted ? call_outcome::done : call_outcome::conflict;
                  }}),
      max_connections_(chosen.max_connections), sync_replicas_(chosen.sync_replicas), keys_(chosen.keys),
      first_start_(chosen.first_start), slots_(chosen.slots), work_(chosen.work), work_random_state_(chosen.seed),
      random_state_(chosen.seed)
{
    for (const std::string& id : member_ids(chosen.members)) {
        members_[id] = {};
        write_entry("members/" + id, id + " ready");
    }
    write_configuration(1, {"fresh", "aged", "own"});
    for (std::size_t i = 0; i < chosen.daemons; ++i) {
        daemons_.push_back(std::make_unique<simulated_daemon>());
    }
    for (std::size_t i = 0; i < chosen.daemons; ++i) {
        start_daemon(i);
    }
    for (std::size_t i = 0; i < chosen.daemons; ++i) {
        for (std::size_t other = 0; other < i; ++other) {
            connect_peers(i, other);
        }
    }
    advance_store();
    run(2s);
}

gateway_simulation::~gateway_simulation() = default;

void gateway_simulation::start_daemon(std::size_t index, std::uint64_t run)
{
    simulated_daemon& daemon = *daemons_[index];
    const std::string name = "d" + std::to_string(index);
    auto engine = gateway_engine::make(
        {.settings = gateway_settings{{.name = name, .region = "r", .data_center = "dc", .first_start = first_start_}},
         .incarnation = index + 1 + run * daemons_.size(),
         .send_reply =
             [this, index, &daemon](const caller_reply& reply) {
                 const session_number session = std::visit([](const auto& each) { return each->session; }, reply);
                 daemon.replies[session].push_back({now(), reply});
                 time_.after(message_delay, [this, index, reply] { take_reply(index, reply); });
             },
         .send_member_command = [this, index](const member_command& command) { perform(index, command); },
         .send_store_call = [this, index](const store_call& call) { perform(index, call); },
         .send_peer_command = [this, index](const peer_service_command& order) { deliver_peer_message(index, order); },
         .write_log = [&daemon](const log_line& line, instant) { daemon.log.push_back(line); },
         .set_ready = [&daemon](bool ready) { daemon.ready = ready; },
         .publish_metrics = [](const metrics_report&) {},
         .publish_report = [](const gateway_report&) {},
         .reload = [] {},
         .stop = [this, index] { stop_daemon(index); },
         .random =
             [this](std::uint64_t below) {
                 random_state_ = random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
                 return (random_state_ >> 33U) % below;
             },
         .service_directory = {.keys = {.configuration = "op/config",
                                        .members = "members/",
                                        .daemons = "own/daemons/",
                                        .failover_locks = "own/duties/"},
                               .read_service_configuration = read_fake_deployment,
                               .read_member = read_fake_member,
                               .read_daemon = read_fake_daemon,
                               .read_failover_lock = read_fake_duty},
         .configuration_prefix = "op/",
         .own_prefix = "own/",
         .encode_daemon = [](const daemon_registration& entry) { return std::to_string(entry->incarnation); },
         .encode_failover_lock =
             [](const failover_lock& entry) { return entry->holder + " " + std::to_string(entry->incarnation); },
         .read_status = read_fake_status});
    REQUIRE(ok(engine));
    daemon.engine = take(std::move(engine));
    tick_daemon(index);
}

void gateway_simulation::connect_peers(std::size_t daemon, std::size_t other)
{
    deliver(daemon, peer_event{{.from = "d" + std::to_string(other), .kind = peer_event_kind::connected}});
    deliver(other, peer_event{{.from = "d" + std::to_string(daemon), .kind = peer_event_kind::connected}});
}

void gateway_simulation::start_further_daemon()
{
    const std::size_t index = daemons_.size();
    daemons_.push_back(std::make_unique<simulated_daemon>());
    start_daemon(index);
    for (std::size_t i = 0; i < index; ++i) {
        if (!daemons_[i]->stopped) {
            connect_peers(index, i);
        }
    }
}

void gateway_simulation::restart_daemon(std::size_t index)
{
    stop_daemon(index);
    run(300ms); // Longer than the ticks of the former run.
    daemons_[index]->stopped = false;
    start_daemon(index, ++daemons_[index]->restarts);
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (i != index && !daemons_[i]->stopped) {
            connect_peers(index, i);
        }
    }
}

void gateway_simulation::restart_all_daemons()
{
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        stop_daemon(i);
    }
    run(500ms); // Longer than the ticks of the former run.
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        start_again(i);
    }
}

void gateway_simulation::stop_daemon(std::size_t index)
{
    daemons_[index]->stopped = true;
    for (const auto& [connection, member] : std::exchange(daemons_[index]->connections, {})) {
        service_.close(member, session_of(index, connection)); // By the end of the process.
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (i != index) {
            deliver(i, peer_event{{.from = "d" + std::to_string(index), .kind = peer_event_kind::disconnected}});
        }
    }
}

/// Connection numbers are unique only within a run of a daemon, so its index and the number of its restarts are added.
standin::member_session gateway_simulation::session_of(std::size_t daemon, connection_number connection) const
{
    constexpr std::uint64_t max_daemons = 1024;
    return ((daemons_[daemon]->restarts * max_daemons + daemon) << 32U) | connection;
}

void gateway_simulation::lose_all_power(duration off)
{
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        daemons_[i]->stopped = true;
        for (const auto& [connection, member] : std::exchange(daemons_[i]->connections, {})) {
            time_.after(lost_connection_time,
                        [this, id = member, session = session_of(i, connection)] { service_.close(id, session); });
        }
        const auto position = static_cast<duration::rep>(i);
        const auto daemons = static_cast<duration::rep>(daemons_.size());
        time_.after(off + start_spread * position / daemons, [this, i] { start_again(i); });
    }
}

/// Starts a daemon that has no power yet; its connections with the others come about a little later.
void gateway_simulation::start_again(std::size_t index)
{
    daemons_[index]->stopped = false;
    start_daemon(index, ++daemons_[index]->restarts);
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (i != index && !daemons_[i]->stopped) {
            time_.after(peer_connect_time, [this, index, i] { connect_peers(index, i); });
        }
    }
}

void gateway_simulation::tick_daemon(std::size_t index)
{
    simulated_daemon& daemon = *daemons_[index];
    if (daemon.stopped || daemon.frozen) {
        return;
    }
    daemon.engine->tick(now());
    time_.after(std::max<duration>(daemon.engine->next(now()) - now(), message_delay),
                [this, index] { tick_daemon(index); });
}

void gateway_simulation::deliver(std::size_t daemon, const gateway_event& event, duration delay)
{
    time_.after(delay, [this, daemon, event] { handle(daemon, event); });
}

void gateway_simulation::handle(std::size_t daemon, const gateway_event& event)
{
    simulated_daemon& target = *daemons_[daemon];
    if (target.frozen) {
        target.waiting.push_back(event);
    } else if (!target.stopped) {
        target.engine->handle(event, now());
    }
}

void gateway_simulation::freeze(std::size_t daemon, bool frozen)
{
    simulated_daemon& target = *daemons_[daemon];
    if (target.stopped || target.frozen == frozen) {
        return;
    }
    target.frozen = frozen;
    if (!frozen) {
        for (const gateway_event& event : std::exchange(target.waiting, {})) {
            handle(daemon, event);
        }
        tick_daemon(daemon);
    }
}

void gateway_simulation::restart_member(const std::string& id)
{
    service_.restart(id);
}

void gateway_simulation::deliver_from_caller(std::size_t daemon, const caller_event& event)
{
    deliver(daemon, event, daemons_[daemon]->caller_event_delay);
}

/// Does what the caller thread does with a reply.
void gateway_simulation::take_reply(std::size_t daemon, const caller_reply& reply)
{
    const session_number session = std::visit([](const auto& each) { return each->session; }, reply);
    simulated_daemon::caller_connection& caller = daemons_[daemon]->callers[session];
    if (caller.closed) {
        return;
    }
    if (std::holds_alternative<statement_reply>(reply)) {
        ++caller.answers;
    } else if (const auto* close = std::get_if<session_close>(&reply)) {
        caller.handle((*close)->offer.value_or(close_offer{.received = caller.statements}));
    }
    if (caller.closed) {
        deliver_from_caller(daemon,
                            caller_disconnected{{.session = session, .reason = session_end_reason::closed_by_daemon}});
    }
}

session_number gateway_simulation::open(std::size_t daemon, const std::string& database, const std::string& key)
{
    const session_number session = ++last_session_;
    deliver_from_caller(daemon, caller_connected{{.session = session, .database = database, .key = key}});
    run(5ms);
    return session;
}

void gateway_simulation::send(std::size_t daemon, session_number session, const std::string& text)
{
    simulated_daemon::caller_connection& caller = daemons_[daemon]->callers[session];
    if (caller.closed || !caller.reading) {
        return;
    }
    ++last_request_;
    ++caller.statements;
    deliver_from_caller(
        daemon, caller_statement{{.session = session, .request_id = last_request(), .query = parse_statement(text)}});
}

std::optional<statement_reply> gateway_simulation::execute(std::size_t daemon, session_number session,
                                                           const std::string& text, duration limit)
{
    const std::size_t before = replies(daemon, session).size();
    send(daemon, session, text);
    const instant end = now() + limit;
    while (now() < end && replies(daemon, session).size() == before) {
        run(1ms);
    }
    const auto& all_replies = replies(daemon, session);
    if (all_replies.size() == before) {
        return std::nullopt;
    }
    const auto* answer = std::get_if<statement_reply>(&all_replies[before].reply);
    return answer == nullptr ? std::nullopt : std::optional(*answer);
}

void gateway_simulation::disconnect(std::size_t daemon, session_number session)
{
    daemons_[daemon]->callers[session].closed = true;
    deliver_from_caller(daemon, caller_disconnected{{.session = session}});
}

bool gateway_simulation::closed(std::size_t daemon, session_number session) const
{
    return daemons_[daemon]->callers[session].closed;
}

std::size_t gateway_simulation::unanswered(std::size_t daemon, session_number session) const
{
    const simulated_daemon::caller_connection& caller = daemons_[daemon]->callers[session];
    return caller.statements - caller.answers;
}

std::size_t gateway_simulation::unanswered_in_all(std::size_t daemon) const
{
    std::size_t count = 0;
    for (const auto& [session, caller] : daemons_[daemon]->callers) {
        count += caller.statements - caller.answers;
    }
    return count;
}

void gateway_simulation::delay_caller_events(std::size_t daemon, duration delay)
{
    daemons_[daemon]->caller_event_delay = delay;
}

const std::vector<gateway_simulation::received_reply>& gateway_simulation::replies(std::size_t daemon,
                                                                                   session_number session)
{
    return daemons_[daemon]->replies[session];
}

void gateway_simulation::crash_member(const std::string& id)
{
    service_.crash(id);
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        std::erase_if(daemons_[i]->connections, [&](const auto& each) {
            if (each.second == id) {
                deliver(i, member_event(member_connection_closed{
                               {.connection = each.first, .end = connection_end_reason::reset}}));
            }
            return each.second == id;
        });
    }
}

void gateway_simulation::silence_member(const std::string& id)
{
    members_.at(id).silenced = true;
}

void gateway_simulation::heal_member(const std::string& id)
{
    members_.at(id).silenced = false;
}

void gateway_simulation::announce_drain(const std::string& id)
{
    write_entry("members/" + id, id + " draining");
}

void gateway_simulation::announce_primary(const std::string& id)
{
    write_entry("members/" + id, id + " primary");
}

void gateway_simulation::announce_ready(const std::string& id)
{
    write_entry("members/" + id, id + " ready");
}

void gateway_simulation::remove_entry(const std::string& id)
{
    written_.erase("members/" + id);
    store_.remove("members/" + id, now());
}

void gateway_simulation::lose_answers(const std::string& id, std::size_t count)
{
    members_.at(id).answers_to_lose = count;
}

void gateway_simulation::occupy_slots(const std::string& id, std::size_t count)
{
    members_.at(id).statements_to_refuse = count;
}

void gateway_simulation::reset_connections(const std::string& id)
{
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        std::erase_if(daemons_[i]->connections, [&](const auto& each) {
            if (each.second == id) {
                service_.close(id, session_of(i, each.first));
                deliver(i, member_event(member_connection_closed{
                               {.connection = each.first, .end = connection_end_reason::reset}}));
            }
            return each.second == id;
        });
    }
}

void gateway_simulation::occupy_connections(const std::string& id, std::size_t count)
{
    constexpr standin::member_session first_outsider = standin::member_session{1} << 48U;
    for (std::size_t i = 0; i < max_connections_; ++i) {
        service_.close(id, first_outsider + i);
    }
    for (std::size_t i = 0; i < count; ++i) {
        static_cast<void>(service_.open(id, first_outsider + i));
    }
}

void gateway_simulation::refuse_store(std::size_t daemon, bool refused)
{
    daemons_[daemon]->refused = refused;
    if (refused) {
        store_.end_watches(daemon);
    }
}

void gateway_simulation::write_configuration(std::uint64_t version, const std::set<std::string>& databases)
{
    std::string value =
        std::to_string(version) + " " + std::to_string(max_connections_) + " " + std::to_string(sync_replicas_);
    for (const std::string& each : databases) {
        value += " " + each;
    }
    for (const auto& [tenant, key] : keys_) {
        value += " " + tenant + "=" + key;
    }
    write_entry("op/config", value);
}

void gateway_simulation::write_entry(const std::string& key, const std::string& value)
{
    written_[key] = value;
    store_.write(key, value, 0, now());
}

void gateway_simulation::rewrite_store()
{
    for (const auto& [key, value] : written_) {
        if (stored(key) != value) {
            store_.write(key, value, 0, now());
        }
    }
}

std::optional<std::string> gateway_simulation::stored(const std::string& key) const
{
    const store_item* found = store_.find(key);
    return found == nullptr ? std::nullopt : std::optional((*found)->value);
}

std::vector<std::string> gateway_simulation::logged(std::size_t daemon, const std::string& event) const
{
    std::vector<std::string> found;
    for (const log_line& line : daemons_[daemon]->log) {
        if (line->event == event) {
            found.push_back(line->fields);
        }
    }
    return found;
}

void gateway_simulation::terminate(std::size_t daemon)
{
    deliver(daemon, control_event::terminate);
}

void gateway_simulation::pause_member(const std::string& id)
{
    constexpr standin::member_session nobody = 0;
    static_cast<void>(service_.open(id, nobody));
    static_cast<void>(service_.answer(id, nobody, member_query{{.body = pause_replication{.term = 99}}}, now()));
    service_.close(id, nobody);
}

void gateway_simulation::cut_member(std::size_t daemon, const std::string& id, bool cut)
{
    if (cut) {
        daemons_[daemon]->cut.insert(id);
    } else {
        daemons_[daemon]->cut.erase(id);
    }
}

void gateway_simulation::cut_peers(std::size_t daemon, bool cut)
{
    daemons_[daemon]->isolated = cut;
    const auto kind = cut ? peer_event_kind::disconnected : peer_event_kind::connected;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (i != daemon) {
            deliver(i, peer_event{{.from = "d" + std::to_string(daemon), .kind = kind}});
            deliver(daemon, peer_event{{.from = "d" + std::to_string(i), .kind = kind}});
        }
    }
}

std::optional<std::size_t> gateway_simulation::lock_holder() const
{
    const auto value = stored(std::string("own/duties/") + service);
    return value ? std::optional<std::size_t>(std::stoul(value->substr(1))) : std::nullopt;
}

std::string gateway_simulation::leader() const
{
    const auto leader = service_.leader();
    return leader && !members_.at(*leader).silenced ? *leader : std::string{};
}

bool gateway_simulation::lists(std::size_t daemon, const std::string& id) const
{
    const gateway_report report = daemons_[daemon]->engine->report(now());
    return std::any_of(report->members.begin(), report->members.end(),
                       [&](const reported_member& each) { return each.id == id; });
}

bool gateway_simulation::sees_draining(std::size_t daemon, const std::string& id) const
{
    const gateway_report report = daemons_[daemon]->engine->report(now());
    return std::any_of(report->members.begin(), report->members.end(),
                       [&](const reported_member& each) { return each.id == id && each.draining; });
}

std::uint64_t gateway_simulation::configuration_version(std::size_t daemon) const
{
    return daemons_[daemon]->engine->report(now())->configuration_version;
}

bool gateway_simulation::ready(std::size_t daemon) const
{
    return daemons_[daemon]->ready;
}

bool gateway_simulation::stopped(std::size_t daemon) const
{
    return daemons_[daemon]->stopped;
}

std::size_t gateway_simulation::connections_in_use(const std::string& id) const
{
    return service_.open_transactions(id, now());
}

std::size_t gateway_simulation::runs(const std::string& request_id) const
{
    const auto& all = service_.runs();
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(), [&](const auto& each) { return each.request_id == request_id; }));
}

double gateway_simulation::next_random()
{
    random_state_ = random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(random_state_ >> 33U) / static_cast<double>(1ULL << 31U);
}

/// Delay of the next packet in one direction of a connection.
duration gateway_simulation::delivery_delay(const std::string& connection)
{
    if (lost_share_ == 0) {
        return message_delay;
    }
    duration delay = message_delay;
    for (duration again = first_retransmission; again <= max_retransmission; again *= 2) {
        if (next_random() >= lost_share_) {
            break;
        }
        delay += again;
    }
    instant& last = delivered_until_[connection];
    last = std::max(last, now() + delay);
    return last - now();
}

std::map<std::string, gateway_simulation::write_count> gateway_simulation::writes() const
{
    std::map<std::string, write_count> counts;
    for (const standin::log_entry& entry : service_.log()) {
        for (const auto& [item, value] : entry.changes) {
            ++counts[item].made;
            counts[item].kept += entry.rolled_back ? 0 : 1;
        }
    }
    return counts;
}

std::set<std::uint64_t> gateway_simulation::take_polls(std::size_t daemon)
{
    return std::exchange(daemons_[daemon]->polls, {});
}

std::vector<std::set<std::string>> gateway_simulation::commits() const
{
    std::vector<std::set<std::string>> all;
    for (const standin::log_entry& entry : service_.log()) {
        std::set<std::string>& items = all.emplace_back();
        for (const auto& [item, value] : entry.changes) {
            items.insert(item);
        }
    }
    return all;
}

void gateway_simulation::throw_on_next_command(std::size_t daemon)
{
    daemons_[daemon]->throws = true;
}

void gateway_simulation::perform(std::size_t daemon, const member_command& command)
{
    if (std::exchange(daemons_[daemon]->throws, false)) {
        throw std::out_of_range("thrown by the test");
    }
    if (const auto* opening = std::get_if<open_member_connection>(&command)) {
        open_connection(daemon, *opening);
    } else if (const auto* sent = std::get_if<send_queries>(&command)) {
        const duration delay = delivery_delay(link_name("to member", daemon, (*sent)->connection));
        for (const member_query& query : (*sent)->queries) {
            time_.after(delay, [this, daemon, connection = (*sent)->connection, query] {
                run_query(daemon, connection, query);
            });
        }
    } else if (const auto* closing = std::get_if<close_member_connection>(&command)) {
        const auto found = daemons_[daemon]->connections.find((*closing)->connection);
        if (found != daemons_[daemon]->connections.end()) {
            service_.close(found->second, session_of(daemon, found->first));
            daemons_[daemon]->connections.erase(found);
        }
    }
}

bool gateway_simulation::is_cut_off(std::size_t daemon, const std::string& member) const
{
    return members_.at(member).silenced || daemons_[daemon]->cut.contains(member);
}

void gateway_simulation::open_connection(std::size_t daemon, const open_member_connection& command)
{
    const std::string& member = command->address;
    const auto close_later = [&](connection_end_reason end, duration delay, std::optional<error> why = std::nullopt) {
        time_.after(delay, [this, daemon, number = command->connection, end, why] {
            handle(daemon, member_event(member_connection_closed{{.connection = number, .end = end, .failure = why}}));
        });
    };
    if (is_cut_off(daemon, member)) {
        close_later(connection_end_reason::no_answer, 400ms);
    } else if (!service_.up(member)) {
        close_later(connection_end_reason::refused, 2 * message_delay);
    } else if (const auto refusal = service_.open(member, session_of(daemon, command->connection))) {
        refused_connections_ += refusal == error_kind::too_many_connections ? 1 : 0;
        close_later(connection_end_reason::rejected, 2 * message_delay, error{{.kind = *refusal, .detail = "fake"}});
    } else {
        daemons_[daemon]->connections[command->connection] = member;
        daemons_[daemon]->tenants[command->connection] = command->tenant;
        deliver(daemon, member_event(member_connection_opened{{.connection = command->connection}}),
                delivery_delay(link_name("from member", daemon, command->connection)));
    }
}

void gateway_simulation::run_query(std::size_t daemon, connection_number connection, const member_query& query)
{
    const auto found = daemons_[daemon]->connections.find(connection);
    if (found == daemons_[daemon]->connections.end() || is_cut_off(daemon, found->second)) {
        return;
    }
    if (query->request_id.empty()) {
        time_.after({}, [this, daemon, connection, query] { answer_query(daemon, connection, query); });
        return;
    }
    run_tenants_[query->request_id].insert(daemons_[daemon]->tenants[connection]);
    if (slots_ == 0) {
        time_.after(work_, [this, daemon, connection, query] { answer_query(daemon, connection, query); });
        return;
    }
    const std::string member = found->second;
    const auto* read = std::get_if<forwarded_statement>(&query->body);
    if (read != nullptr && (*read)->after && service_.received_by(member, now()) < *(*read)->after) {
        answer_query(daemon, connection, query); // Members refuse it before it takes a slot.
        return;
    }
    const queued_query next{.daemon = daemon, .connection = connection, .query = query};
    member_faults& state = members_.at(member);
    if (state.running < slots_) {
        run_in_slot(member, next);
    } else if (state.queue.size() < max_queued) {
        state.queue.push_back(next);
    } else {
        refuse_query(daemon, connection);
    }
}

void gateway_simulation::run_in_slot(const std::string& member, const queued_query& next)
{
    ++members_.at(member).running;
    time_.after(next_work(), [this, member, next] {
        member_faults& state = members_.at(member);
        --state.running;
        if (!state.queue.empty()) {
            const queued_query waiting = state.queue.front();
            state.queue.pop_front();
            run_in_slot(member, waiting);
        }
        answer_query(next.daemon, next.connection, next.query);
    });
}

/// Run times vary as those of short reads and a few long ones do.
duration gateway_simulation::next_work()
{
    constexpr double longest = 8; // Of the mean.
    work_random_state_ = work_random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
    const double uniform = (static_cast<double>(work_random_state_ >> 33U) + 1) / static_cast<double>(1ULL << 31U);
    return std::chrono::duration_cast<duration>(work_ * std::min(-std::log(uniform), longest));
}

void gateway_simulation::refuse_query(std::size_t daemon, connection_number connection)
{
    ++refused_by_members_;
    deliver(daemon, member_event(member_reply{{.connection = connection,
                                               .failure = error{{.kind = error_kind::overloaded}},
                                               .position = service_.committed()}}));
}

void gateway_simulation::answer_query(std::size_t daemon, connection_number connection, const member_query& query)
{
    const auto found = daemons_[daemon]->connections.find(connection);
    if (found == daemons_[daemon]->connections.end() || members_.at(found->second).silenced) {
        return;
    }
    std::size_t& to_refuse = members_.at(found->second).statements_to_refuse;
    if (!query->request_id.empty() && to_refuse > 0) {
        --to_refuse;
        refuse_query(daemon, connection);
        return;
    }
    if (is_order(query) && members_.at(found->second).orders_to_delay > 0) {
        --members_.at(found->second).orders_to_delay;
        carry_out_late(found->second, query);
        return;
    }
    service_.advance(now());
    const log_position before = service_.committed();
    member_reply_fields reply = service_.answer(found->second, session_of(daemon, connection), query, now());
    reply.connection = connection;
    refused_by_members_ += !query->request_id.empty() && reply.failure ? 1 : 0;
    std::size_t& to_lose = members_.at(found->second).answers_to_lose;
    if (!query->request_id.empty() && to_lose > 0) {
        --to_lose;
        return;
    }
    if (service_.committed() > before) {
        await_replicas(daemon, member_reply{std::move(reply)}, service_.committed());
    } else {
        reply_later(daemon, member_reply{std::move(reply)});
    }
}

/// Sends a reply unless the member is cut off from the daemon.
void gateway_simulation::reply_later(std::size_t daemon, const member_reply& reply)
{
    const auto found = daemons_[daemon]->connections.find(reply->connection);
    if (found != daemons_[daemon]->connections.end() && !is_cut_off(daemon, found->second)) {
        deliver(daemon, member_event(reply), delivery_delay(link_name("from member", daemon, reply->connection)));
    }
}

/// Sends the reply to a commit once enough replicas have received it. A member that loses the lead does not answer.
void gateway_simulation::await_replicas(std::size_t daemon, const member_reply& reply, const log_position& position)
{
    service_.advance(now());
    const auto found = daemons_[daemon]->connections.find(reply->connection);
    if (found == daemons_[daemon]->connections.end() || !service_.leads(found->second)) {
        return;
    }
    if (service_.may_acknowledge(position, now())) {
        reply_later(daemon, reply);
        return;
    }
    time_.after(message_delay, [this, daemon, reply, position] { await_replicas(daemon, reply, position); });
}

void gateway_simulation::delay_orders(const std::string& id, std::size_t count, duration late)
{
    members_.at(id).orders_to_delay = count;
    members_.at(id).order_delay = late;
}

void gateway_simulation::carry_out_late(const std::string& member, const member_query& order)
{
    time_.after(members_.at(member).order_delay, [this, member, order] {
        constexpr standin::member_session nobody = 0;
        if (service_.up(member)) {
            static_cast<void>(service_.answer(member, nobody, order, now()));
            service_.close(member, nobody);
        }
    });
}

void gateway_simulation::perform(std::size_t daemon, const store_call& call)
{
    ++store_calls_;
    const auto* read = std::get_if<read_range>(&call->body);
    if (std::holds_alternative<renew_lease>(call->body) || (read != nullptr && (*read)->stale)) {
        ++cheap_store_calls_;
    }
    if (daemons_[daemon]->refused && !std::holds_alternative<promote_member>(call->body)) {
        deliver(daemon, store_answer{{.number = call->number, .outcome = call_outcome::refused}});
        return;
    }
    if (std::holds_alternative<promote_member>(call->body) && promotions_late_ && next_random() <= late_share_) {
        time_.after(*promotions_late_,
                    [this, daemon, call] { store_.perform(daemon, call, now(), [](const store_answer&) {}); });
        deliver(daemon, store_answer{{.number = call->number, .outcome = call_outcome::unanswered}}, call->timeout);
        return;
    }
    time_.after(message_delay, [this, daemon, call] {
        store_.perform(daemon, call, now(), [this, daemon](const store_answer& answer) { deliver(daemon, answer); });
    });
}

void gateway_simulation::advance_store()
{
    store_.advance(now());
    service_.advance(now());
    time_.after(store_advance_interval, [this] { advance_store(); });
}

void gateway_simulation::deliver_peer_message(std::size_t from, const peer_service_command& order)
{
    const auto* command = std::get_if<outgoing_peer_message>(&order);
    if (command == nullptr) {
        return;
    }
    if (const auto* query = std::get_if<suspicion_query>(&(*command)->message)) {
        daemons_[from]->polls.insert((*query)->number);
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        const std::string name = "d" + std::to_string(i);
        if (i != from && !daemons_[i]->isolated && !daemons_[from]->isolated &&
            ((*command)->to.empty() || (*command)->to == name)) {
            if (const auto held = held_.find({from, i}); held != held_.end()) {
                held->second.push_back((*command)->message);
            } else {
                deliver_peer_message(from, i, (*command)->message);
            }
        }
    }
}

void gateway_simulation::deliver_peer_message(std::size_t from, std::size_t to, const peer_message& message)
{
    deliver(to, peer_event{{.from = "d" + std::to_string(from), .kind = peer_event_kind::received, .message = message}},
            delivery_delay(link_name("to peer", from, to)));
}

void gateway_simulation::lose_peers_alone(std::size_t daemon)
{
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        if (i != daemon) {
            const std::string peer = "d" + std::to_string(i);
            deliver(daemon, peer_event{{.from = peer, .kind = peer_event_kind::disconnected}});
            deliver(daemon, peer_event{{.from = peer, .kind = peer_event_kind::connected}});
        }
    }
}

void gateway_simulation::hold_peer_messages(std::size_t from, std::size_t to, bool held)
{
    if (held) {
        held_.try_emplace({from, to});
        return;
    }
    if (const auto freed = held_.extract({from, to}); !freed.empty()) {
        for (const peer_message& message : freed.mapped()) {
            deliver_peer_message(from, to, message);
        }
    }
}

} // namespace citronfall
