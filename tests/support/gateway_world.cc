#include "support/gateway_world.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include <catch2/catch.hpp>

namespace citronfall {
namespace {

using namespace std::chrono_literals;

constexpr duration hop = 1ms;          ///< Every message.
constexpr duration service_time = 5ms; ///< Of a caller's statement.
constexpr duration promotion_time = 300ms;
constexpr duration lease_check = 50ms;
constexpr const char* service = "ledger";

bool starts_with(const std::string& text, const char* prefix)
{
    return text.rfind(prefix, 0) == 0;
}

parsed_statement statement_of(const std::string& text)
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

error failure(error_kind kind)
{
    return error{{.kind = kind, .detail = "fake"}};
}

/// The fakes' configuration is a version and a list of databases.
result<deployment> read_fake_deployment(std::string_view value)
{
    std::istringstream words{std::string(value)};
    deployment_fields fields;
    std::uint32_t connections = 0;
    words >> fields.version >> connections;
    std::string database;
    while (words >> database) {
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
    fields.services[service] = service_policy{{.name = service, .max_connections = connections}};
    fields.idle_transaction_limit = 3s;
    return deployment{std::move(fields)};
}

/// The fakes' entries are an address, "draining" or "ready", and the data centre.
result<member_entry> read_fake_member(std::string_view id, std::string_view value)
{
    std::istringstream words{std::string(value)};
    std::string address;
    std::string state;
    words >> address >> state;
    return member_entry{{.id = std::string(id),
                         .service = service,
                         .address = address,
                         .data_center = "dc",
                         .slots = 3,
                         .draining = state == "draining"}};
}

result<daemon_entry> read_fake_daemon(std::string_view name, std::string_view value)
{
    return daemon_entry{
        {.name = std::string(name), .data_center = "dc", .incarnation = std::stoull(std::string(value))}};
}

result<duty_entry> read_fake_duty(std::string_view name, std::uint64_t fence, std::string_view value)
{
    std::istringstream words{std::string(value)};
    std::string holder;
    std::uint64_t incarnation = 0;
    words >> holder >> incarnation;
    return duty_entry{{.service = std::string(name), .holder = holder, .incarnation = incarnation, .fence = fence}};
}

/// The fakes' status row is "leads term index".
result<log_status> read_fake_status(const std::string& row)
{
    std::istringstream words(row);
    bool leads = false;
    term_number term = 0;
    log_index index = 0;
    words >> leads >> term >> index;
    return log_status{{.leads = leads, .term = term, .received = log_position{{.term = term, .index = index}}}};
}

} // namespace

struct gateway_world::member_connection {
    std::string member;
    transaction_state transaction = transaction_state::none;
    bool plain = false; ///< The transaction may write.
    bool wrote = false;
};

struct gateway_world::fake_member {
    std::string id;
    bool up = true;
    bool dark = false;
    bool leads = false;
    std::size_t answers_to_lose = 0;
    std::size_t connections = 0;
};

struct gateway_world::fake_daemon {
    std::unique_ptr<gateway_engine> engine;
    std::map<connection_number, member_connection> connections;
    std::map<session_number, std::vector<received_reply>> replies;
    bool ready = false;
    bool stopped = false;
    bool refused = false;
};

struct gateway_world::waiting_watch {
    std::size_t daemon = 0;
    store_call call;
    instant until{};
};

gateway_world::gateway_world(const options& chosen)
    : lag_(chosen.replica_lag), max_connections_(chosen.max_connections), random_state_(chosen.seed)
{
    history_.emplace_back(now_, position_);
    for (std::size_t i = 0; i < chosen.members; ++i) {
        const std::string id = "m" + std::to_string(i);
        members_[id] = fake_member{.id = id, .leads = i == 0};
        write_item("members/" + id, id + " ready", 0);
    }
    write_configuration(1, {"fresh", "aged", "own"});
    for (std::size_t i = 0; i < chosen.daemons; ++i) {
        daemons_.push_back(std::make_unique<fake_daemon>());
    }
    for (std::size_t i = 0; i < chosen.daemons; ++i) {
        start_daemon(i);
    }
    for (std::size_t i = 0; i < chosen.daemons; ++i) {
        for (std::size_t other = 0; other < chosen.daemons; ++other) {
            if (i != other) {
                deliver(i, peer_event{{.from = "d" + std::to_string(other), .kind = peer_event_kind::connected}});
            }
        }
    }
    expire_leases();
    run(2s);
}

gateway_world::~gateway_world() = default;

void gateway_world::at(duration later, std::function<void()> action)
{
    agenda_.emplace(now_ + later, std::move(action));
}

void gateway_world::run(duration length)
{
    const instant end = now_ + length;
    while (!agenda_.empty() && agenda_.begin()->first <= end) {
        auto next = agenda_.extract(agenda_.begin());
        now_ = next.key();
        next.mapped()();
    }
    now_ = end;
}

void gateway_world::start_daemon(std::size_t index)
{
    fake_daemon& node = *daemons_[index];
    const std::string name = "d" + std::to_string(index);
    auto engine = gateway_engine::make(
        {.settings = gateway_settings{{.name = name, .region = "r", .data_center = "dc"}},
         .incarnation = index + 1,
         .reply =
             [this, &node](const caller_reply& reply) {
                 const session_number session = std::visit([](const auto& each) { return each->session; }, reply);
                 node.replies[session].push_back({now_, reply});
             },
         .member = [this, index](const member_command& command) { obey(index, command); },
         .store = [this, index](const store_call& call) { obey(index, call); },
         .peer = [this, index](const peer_order& order) { pass(index, order); },
         .log = [](const log_line&, instant) {},
         .ready = [&node](bool ready) { node.ready = ready; },
         .publish = [](const metrics_report&) {},
         .reload = [] {},
         .stop = [&node] { node.stopped = true; },
         .random =
             [this](std::uint64_t below) {
                 random_state_ = random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
                 return (random_state_ >> 33U) % below;
             },
         .directory = {.keys = {.configuration = "op/config",
                                .members = "members/",
                                .daemons = "own/daemons/",
                                .duties = "own/duties/"},
                       .read_deployment = read_fake_deployment,
                       .read_member = read_fake_member,
                       .read_daemon = read_fake_daemon,
                       .read_duty = read_fake_duty},
         .configuration_prefix = "op/",
         .own_prefix = "own/",
         .encode_daemon = [](const daemon_entry& entry) { return std::to_string(entry->incarnation); },
         .encode_duty =
             [](const duty_entry& entry) { return entry->holder + " " + std::to_string(entry->incarnation); },
         .read_status = read_fake_status});
    REQUIRE(ok(engine));
    node.engine = take(std::move(engine));
    tick_daemon(index);
}

void gateway_world::tick_daemon(std::size_t index)
{
    fake_daemon& node = *daemons_[index];
    if (node.stopped) {
        return;
    }
    node.engine->tick(now_);
    at(std::max<duration>(node.engine->next(now_) - now_, hop), [this, index] { tick_daemon(index); });
}

void gateway_world::deliver(std::size_t daemon, const gateway_event& event)
{
    at(hop, [this, daemon, event] {
        if (!daemons_[daemon]->stopped) {
            daemons_[daemon]->engine->handle(event, now_);
        }
    });
}

session_number gateway_world::open(std::size_t daemon, const std::string& database)
{
    const session_number session = ++last_session_;
    deliver(daemon, caller_event(caller_started{{.session = session, .database = database}}));
    run(5ms);
    return session;
}

void gateway_world::send(std::size_t daemon, session_number session, const std::string& text)
{
    ++last_request_;
    deliver(daemon, caller_event(caller_statement{
                        {.session = session, .request_id = last_request(), .query = statement_of(text)}}));
}

std::optional<statement_reply> gateway_world::ask(std::size_t daemon, session_number session, const std::string& text,
                                                  duration longest)
{
    const std::size_t before = replies(daemon, session).size();
    send(daemon, session, text);
    const instant end = now_ + longest;
    while (now_ < end && replies(daemon, session).size() == before) {
        run(1ms);
    }
    const auto& list = replies(daemon, session);
    if (list.size() == before) {
        return std::nullopt;
    }
    const auto* answer = std::get_if<statement_reply>(&list[before].reply);
    return answer == nullptr ? std::nullopt : std::optional(*answer);
}

void gateway_world::leave(std::size_t daemon, session_number session)
{
    deliver(daemon, caller_event(caller_left{{.session = session}}));
}

const std::vector<gateway_world::received_reply>& gateway_world::replies(std::size_t daemon, session_number session)
{
    return daemons_[daemon]->replies[session];
}

void gateway_world::crash_member(const std::string& id)
{
    fake_member& member = members_.at(id);
    member.up = false;
    member.connections = 0;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        std::erase_if(daemons_[i]->connections, [&](const auto& each) {
            const bool ended = each.second.member == id;
            if (ended) {
                deliver(i, member_event(member_closed{{.connection = each.first, .end = connection_end::reset}}));
            }
            return ended;
        });
    }
}

void gateway_world::darken_member(const std::string& id)
{
    members_.at(id).dark = true;
}

void gateway_world::announce_drain(const std::string& id)
{
    write_item("members/" + id, id + " draining", 0);
}

void gateway_world::lose_answers(const std::string& id, std::size_t count)
{
    members_.at(id).answers_to_lose = count;
}

void gateway_world::refuse_store(std::size_t daemon, bool refused)
{
    daemons_[daemon]->refused = refused;
    if (!refused) {
        return;
    }
    for (const waiting_watch& each : watches_) {
        if (each.daemon == daemon) {
            deliver(daemon, store_answer{{.number = each.call->number, .outcome = call_outcome::unanswered}});
        }
    }
    std::erase_if(watches_, [daemon](const waiting_watch& each) { return each.daemon == daemon; });
}

void gateway_world::write_configuration(std::uint64_t version, const std::set<std::string>& databases)
{
    std::string value = std::to_string(version) + " " + std::to_string(max_connections_);
    for (const std::string& each : databases) {
        value += " " + each;
    }
    write_item("op/config", value, 0);
}

void gateway_world::terminate(std::size_t daemon)
{
    deliver(daemon, control_event::terminate);
}

std::string gateway_world::leader() const
{
    for (const auto& [id, each] : members_) {
        if (each.leads && each.up && !each.dark) {
            return id;
        }
    }
    return {};
}

bool gateway_world::ready(std::size_t daemon) const
{
    return daemons_[daemon]->ready;
}

bool gateway_world::stopped(std::size_t daemon) const
{
    return daemons_[daemon]->stopped;
}

std::size_t gateway_world::connections_in_use(const std::string& id) const
{
    std::size_t count = 0;
    for (const auto& daemon : daemons_) {
        for (const auto& [number, each] : daemon->connections) {
            count += each.member == id && each.transaction != transaction_state::none ? 1 : 0;
        }
    }
    return count;
}

std::size_t gateway_world::runs(const std::string& request_id) const
{
    const auto found = runs_.find(request_id);
    return found == runs_.end() ? 0 : found->second;
}

void gateway_world::obey(std::size_t daemon, const member_command& command)
{
    if (const auto* opening = std::get_if<open_member>(&command)) {
        open_connection(daemon, *opening);
    } else if (const auto* sent = std::get_if<send_queries>(&command)) {
        for (const member_query& query : (*sent)->queries) {
            at(hop, [this, daemon, connection = (*sent)->connection, query] { run_query(daemon, connection, query); });
        }
    } else if (const auto* closing = std::get_if<close_member>(&command)) {
        const auto found = daemons_[daemon]->connections.find((*closing)->connection);
        if (found != daemons_[daemon]->connections.end()) {
            --members_.at(found->second.member).connections;
            daemons_[daemon]->connections.erase(found);
        }
    }
}

void gateway_world::open_connection(std::size_t daemon, const open_member& command)
{
    fake_member& member = members_.at(command->address);
    const auto ended = [&](connection_end end, duration later, std::optional<error> why = std::nullopt) {
        at(later, [this, daemon, number = command->connection, end, why] {
            daemons_[daemon]->engine->handle(
                member_event(member_closed{{.connection = number, .end = end, .failure = why}}), now_);
        });
    };
    if (member.dark) {
        ended(connection_end::no_answer, 400ms);
    } else if (!member.up) {
        ended(connection_end::refused, 2 * hop);
    } else if (member.connections >= max_connections_) {
        ended(connection_end::rejected, 2 * hop, failure(error_kind::too_many_connections));
    } else {
        ++member.connections;
        daemons_[daemon]->connections[command->connection] = member_connection{.member = member.id};
        deliver(daemon, member_event(member_opened{{.connection = command->connection}}));
    }
}

log_position gateway_world::position_of(const fake_member& member) const
{
    if (member.leads) {
        return position_;
    }
    log_position held = history_.front().second;
    for (const auto& [when, position] : history_) {
        if (when + lag_ <= now_) {
            held = position;
        }
    }
    return held;
}

void gateway_world::commit()
{
    position_ = log_position{{.term = position_->term, .index = position_->index + 1}};
    history_.emplace_back(now_, position_);
}

void gateway_world::run_query(std::size_t daemon, connection_number number, const member_query& query)
{
    const auto found = daemons_[daemon]->connections.find(number);
    if (found == daemons_[daemon]->connections.end() || members_.at(found->second.member).dark) {
        return;
    }
    fake_member& member = members_.at(found->second.member);
    const bool forwarded = !query->request_id.empty();
    at(forwarded ? service_time : duration{}, [this, daemon, number, query, &member, forwarded] {
        const auto still = daemons_[daemon]->connections.find(number);
        if (still == daemons_[daemon]->connections.end() || !member.up || member.dark) {
            return;
        }
        member_reply_fields reply = answer_to(member, still->second, query);
        reply.connection = number;
        reply.state = still->second.transaction;
        reply.position = position_of(member);
        if (forwarded && member.answers_to_lose > 0) {
            --member.answers_to_lose;
            return;
        }
        deliver(daemon, member_event(member_reply{std::move(reply)}));
    });
}

member_reply_fields gateway_world::answer_to(fake_member& member, member_connection& connection,
                                             const member_query& query)
{
    member_reply_fields reply{.receipt = "-"};
    const member_statement& body = query->body;
    if (const auto* sent = std::get_if<forwarded_statement>(&body)) {
        answer_forwarded(member, connection, query, (*sent)->text, (*sent)->after, reply);
    } else if (std::holds_alternative<begin_leading>(body)) {
        if (member.leads) {
            connection.transaction = transaction_state::open;
            connection.plain = true;
            connection.wrote = false;
        } else {
            reply.failure = failure(error_kind::not_primary);
        }
    } else if (const auto* reading = std::get_if<begin_reading>(&body)) {
        if (position_of(member) >= reading->after) {
            connection.transaction = transaction_state::open;
            connection.plain = false;
        } else {
            reply.failure = failure(error_kind::replica_behind);
        }
    } else if (std::holds_alternative<roll_back>(body)) {
        connection.transaction = transaction_state::none;
    } else if (std::holds_alternative<ask_status>(body) || std::holds_alternative<step_down>(body)) {
        const log_position position = position_of(member);
        member.leads = member.leads && !std::holds_alternative<step_down>(body);
        reply.rows = {std::to_string(member.leads) + " " + std::to_string(position->term) + " " +
                      std::to_string(position->index)};
    }
    return reply;
}

void gateway_world::answer_forwarded(fake_member& member, member_connection& connection, const member_query& query,
                                     const std::string& text, const std::optional<log_position>& after,
                                     member_reply_fields& reply)
{
    const bool writes = starts_with(text, "WRITE");
    const bool in_plain = connection.transaction == transaction_state::open && connection.plain;
    const bool commits = text == "COMMIT";
    if (after && position_of(member) < *after) {
        reply.failure = failure(error_kind::replica_behind);
        return;
    }
    if (!member.leads && (writes || (in_plain && !(commits && !connection.wrote)))) {
        reply.failure = failure(error_kind::not_primary);
        connection.transaction =
            connection.transaction == transaction_state::none ? transaction_state::none : transaction_state::failed;
        return;
    }
    ++runs_[query->request_id];
    reply.receipt = "ran-" + query->request_id;
    if (connection.transaction == transaction_state::none) {
        if (writes) {
            commit();
        }
        return;
    }
    connection.wrote = connection.wrote || writes;
    if (commits) {
        if (connection.wrote) {
            commit();
        }
        connection.transaction = transaction_state::none;
    }
}

void gateway_world::obey(std::size_t daemon, const store_call& call)
{
    const bool refused = daemons_[daemon]->refused && !std::holds_alternative<promote_member>(call->body);
    if (refused) {
        deliver(daemon, store_answer{{.number = call->number, .outcome = call_outcome::refused}});
        return;
    }
    at(hop, [this, daemon, call] {
        if (std::holds_alternative<watch_range>(call->body)) {
            watches_.push_back({daemon, call, now_ + std::get<watch_range>(call->body)->wait});
            wake_watches();
            return;
        }
        store_answer_fields answer = carry_out(call);
        answer.number = call->number;
        deliver(daemon, store_answer{std::move(answer)});
    });
}

store_answer_fields gateway_world::carry_out(const store_call& call)
{
    store_answer_fields answer{.revision = revision_};
    if (const auto* range = std::get_if<read_range>(&call->body)) {
        for (const auto& [key, item] : items_) {
            if (starts_with(key, (*range)->prefix.c_str())) {
                answer.items.push_back(item);
            }
        }
    } else if (const auto* change = std::get_if<change_items>(&call->body)) {
        for (const expected_revision& each : (*change)->expected) {
            const auto held = items_.find(each->key);
            if ((held == items_.end() ? 0 : held->second->revision) != each->revision) {
                answer.outcome = call_outcome::conflict;
                return answer;
            }
        }
        for (const store_item& each : (*change)->writes) {
            write_item(each->key, each->value, each->lease);
        }
        answer.revision = revision_;
    } else if (const auto* grant = std::get_if<grant_lease>(&call->body)) {
        answer.lease = 1000 + call->number + revision_++;
        answer.time_to_live = (*grant)->time_to_live;
        leases_[answer.lease] = now_ + (*grant)->time_to_live;
    } else if (const auto* renewal = std::get_if<renew_lease>(&call->body)) {
        const auto held = leases_.find((*renewal)->lease);
        answer.outcome = held == leases_.end() ? call_outcome::missing : call_outcome::done;
        if (held != leases_.end()) {
            held->second = now_ + 3s;
        }
    } else if (const auto* end = std::get_if<end_lease>(&call->body)) {
        if (leases_.contains((*end)->lease)) {
            leases_[(*end)->lease] = now_;
        }
    } else if (const auto* order = std::get_if<promote_member>(&call->body)) {
        const fake_member& target = members_.at((*order)->member);
        if (!target.up || target.dark) {
            answer.outcome = call_outcome::conflict;
        } else {
            promote(*order);
        }
    }
    return answer;
}

void gateway_world::promote(const promote_member& order)
{
    promotions_.push_back(order->member);
    at(promotion_time, [this, order] {
        fake_member& next = members_.at(order->member);
        if (next.leads) {
            return;
        }
        const log_position held = position_of(next);
        for (auto& [id, each] : members_) {
            each.leads = id == order->member;
        }
        position_ = log_position{{.term = position_->term + 1, .index = held->index}};
        std::erase_if(history_, [&](const auto& each) { return each.second > held; });
        history_.emplace_back(now_, position_);
    });
}

void gateway_world::write_item(const std::string& key, const std::string& value, lease_number lease)
{
    items_[key] = store_item{{.key = key, .value = value, .revision = ++revision_, .lease = lease}};
    deletions_.erase(key);
    at(duration{}, [this] { wake_watches(); });
}

void gateway_world::delete_item(const std::string& key)
{
    items_.erase(key);
    deletions_[key] = ++revision_;
    at(duration{}, [this] { wake_watches(); });
}

void gateway_world::wake_watches()
{
    std::erase_if(watches_, [this](const waiting_watch& each) {
        const watch_range& wanted = std::get<watch_range>(each.call->body);
        store_answer_fields answer{.number = each.call->number, .revision = revision_};
        for (const auto& [key, item] : items_) {
            if (starts_with(key, wanted->prefix.c_str()) && item->revision > wanted->after) {
                answer.items.push_back(item);
            }
        }
        for (const auto& [key, when] : deletions_) {
            if (starts_with(key, wanted->prefix.c_str()) && when > wanted->after) {
                answer.items.push_back(store_item{{.key = key, .revision = when, .deleted = true}});
            }
        }
        if (answer.items.empty() && now_ < each.until) {
            return false;
        }
        deliver(each.daemon, store_answer{std::move(answer)});
        return true;
    });
}

void gateway_world::expire_leases()
{
    std::set<lease_number> ended;
    for (const auto& [lease, until] : leases_) {
        if (until <= now_) {
            ended.insert(lease);
        }
    }
    std::vector<std::string> keys;
    for (const auto& [key, item] : items_) {
        if (ended.contains(item->lease)) {
            keys.push_back(key);
        }
    }
    for (const std::string& key : keys) {
        delete_item(key);
    }
    for (const lease_number lease : ended) {
        leases_.erase(lease);
    }
    wake_watches();
    at(lease_check, [this] { expire_leases(); });
}

void gateway_world::pass(std::size_t from, const peer_order& order)
{
    const auto* command = std::get_if<peer_command>(&order);
    if (command == nullptr) {
        return;
    }
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        const std::string name = "d" + std::to_string(i);
        if (i != from && ((*command)->to.empty() || (*command)->to == name)) {
            deliver(i, peer_event{{.from = "d" + std::to_string(from),
                                   .kind = peer_event_kind::received,
                                   .message = (*command)->message}});
        }
    }
}

} // namespace citronfall
