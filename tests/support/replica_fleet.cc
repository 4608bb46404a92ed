#include "support/replica_fleet.h"

#include "peer/peer_codec.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace citronfall {
namespace {

using namespace std::chrono_literals;

constexpr const char* document_key = "op/config";
constexpr duration link_delay = 2ms;
constexpr duration tick_interval = 50ms;
/// Time until a daemon that starts has read the registrations of the others.
constexpr duration registration_time = 500ms;
constexpr double store_link_mbps = 1000;

/// Bytes of an answer of the store besides its values.
constexpr std::size_t answer_overhead = 300;

std::string word(std::mt19937_64& random, std::size_t length)
{
    std::string text;
    for (std::size_t i = 0; i < length; ++i) {
        text.push_back("abcdefghijklmnopqrstuvwxyz0123456789"[random() % 36]);
    }
    return text;
}

duration transmission_time(std::size_t bytes, double mbps)
{
    return duration(static_cast<duration::rep>(static_cast<double>(bytes) * 8 / mbps));
}

std::size_t encoded_size(const store_answer& answer)
{
    std::size_t bytes = answer_overhead;
    for (const store_item& each : answer->items) {
        bytes += each->key.size() + each->value.size() * 4 / 3 + 100;
    }
    return bytes;
}

} // namespace

std::string large_document(std::uint64_t version, std::size_t routes)
{
    std::string text = "{\"version\":" + std::to_string(version) + ",\"routes\":[";
    for (std::size_t i = 0; i < routes; ++i) {
        std::mt19937_64 random(i);
        text += (i == 0 ? "{\"name\":\"r-" : ",{\"name\":\"r-") + word(random, 7) + "\",\"database\":\"" +
                word(random, 10) +
                "\",\"path\":\"/\",\"consistency\":\"bounded_staleness\",\"timeout_ms\":1500,\"target_latency_ms\":800,"
                "\"priority\":2,\"service\":\"huvo11a\",\"attempts\":2,\"max_staleness_ms\":1500,\"open\":false}";
    }
    return text + "]}";
}

struct replica_fleet::simulated_daemon {
    std::string name;
    std::unique_ptr<store_replica> replica;
    std::uint64_t run = 0;
    double link_mbps = 0;
    instant sent_until{};
    instant received_until{};
    std::set<std::size_t> peers;
    std::set<std::size_t> neighbours;
    link_use use;
    std::vector<std::string> documents;
    std::map<std::string, std::size_t> log;
    call_number last_call = 0;
    bool refused = false;
    bool frozen = false;
    bool isolated = false;
    bool damages = false;
};

replica_fleet::replica_fleet(const options& chosen)
    : options_(chosen), store_({.promote =
                                    [](const promote_member&, instant) {
                                        return call_outcome::done;
                                    }}),
      random_(chosen.seed)
{
    for (std::size_t i = 0; i < options_.daemons; ++i) {
        auto daemon = std::make_unique<simulated_daemon>();
        daemon->name = "d" + std::to_string(i);
        daemon->link_mbps = i % 2 == 0 ? options_.link_mbps : options_.narrow_link_mbps;
        for (std::size_t n = 0; n < options_.neighbours; ++n) {
            daemon->neighbours.insert(random_() % options_.daemons);
        }
        daemon->neighbours.erase(i);
        daemons_.push_back(std::move(daemon));
    }
    for (std::size_t i = 0; i < options_.daemons; ++i) {
        start(i);
    }
    for (std::size_t i = 0; i < options_.daemons; ++i) {
        connect_all(i);
    }
}

replica_fleet::~replica_fleet() = default;

void replica_fleet::start(std::size_t index)
{
    simulated_daemon& daemon = *daemons_[index];
    const std::uint64_t run = ++daemon.run;
    daemon.documents.clear();
    auto made = store_replica::make(
        {.self = candidate(index),
         .ranges = {{.prefix = "op/", .batch_delay = 20ms, .starts_stale = false}},
         .call =
             [this, index](call_body body, duration) {
                 const call_number number = ++daemons_[index]->last_call;
                 call(index, number, body);
                 return number;
             },
         .changed =
             [this, index](const store_item& item, store_era) {
                 if (item->key == document_key && !item->deleted) {
                     daemons_[index]->documents.push_back(item->value);
                     daemons_[index]->replica->announce();
                 }
             },
         .send = [this, index](const std::string& to, const peer_message& message) { send(index, to, message); },
         .random = [this](std::uint64_t below) { return random_() % below; },
         .log =
             [this, index](const std::string& event, const std::string&) {
                 ++daemons_[index]->log[event];
             }});
    if (!ok(made)) {
        throw std::runtime_error(error_of(made)->detail);
    }
    daemon.replica = take(std::move(made));
    std::vector<watcher_candidate> others;
    for (std::size_t i = 0; i < options_.daemons; ++i) {
        if (i != index) {
            others.push_back(candidate(i));
        }
    }
    daemon.replica->set_daemons(std::move(others));
    time_.after(duration(static_cast<duration::rep>(random_() % 50'000)), [this, index, run] { tick(index, run); });
}

/// Pairs of daemons share a data centre, so that each has daemons of both kinds of link.
watcher_candidate replica_fleet::candidate(std::size_t index) const
{
    const double mbps = index % 2 == 0 ? options_.link_mbps : options_.narrow_link_mbps;
    return watcher_candidate{{.name = "d" + std::to_string(index),
                              .data_center = "dc" + std::to_string(index / 2 % options_.data_centers),
                              .capacity = mbps / 100}};
}

void replica_fleet::connect(std::size_t a, std::size_t b)
{
    if (!daemons_[a]->isolated && !daemons_[b]->isolated) {
        connect_isolated(a, b);
    }
}

void replica_fleet::connect_isolated(std::size_t a, std::size_t b)
{
    if (a == b || daemons_[a]->replica == nullptr || daemons_[b]->replica == nullptr ||
        !daemons_[a]->peers.insert(b).second) {
        return;
    }
    daemons_[b]->peers.insert(a);
    daemons_[a]->replica->connected(daemons_[b]->name, now());
    daemons_[b]->replica->connected(daemons_[a]->name, now());
}

void replica_fleet::connect_all(std::size_t index)
{
    for (const std::string& each : daemons_[index]->replica->followed()) {
        connect(index, index_of(each));
    }
    for (const std::size_t each : daemons_[index]->neighbours) {
        connect(index, each);
    }
    for (std::size_t i = 0; i < size(); ++i) {
        const auto& other = daemons_[i];
        if (other->neighbours.contains(index) ||
            (other->replica != nullptr && other->replica->followed().contains(daemons_[index]->name))) {
            connect(i, index);
        }
    }
}

void replica_fleet::disconnect_all(std::size_t index)
{
    for (const std::size_t each : std::exchange(daemons_[index]->peers, {})) {
        daemons_[each]->peers.erase(index);
        if (daemons_[each]->replica != nullptr) {
            daemons_[each]->replica->disconnected(daemons_[index]->name);
        }
        if (daemons_[index]->replica != nullptr) {
            daemons_[index]->replica->disconnected(daemons_[each]->name);
        }
    }
}

void replica_fleet::tick(std::size_t index, std::uint64_t run)
{
    simulated_daemon& daemon = *daemons_[index];
    if (daemon.run != run || daemon.replica == nullptr) {
        return;
    }
    if (index == 0) {
        store_.advance(now());
    }
    if (!daemon.frozen) {
        daemon.replica->tick(now());
    }
    time_.after(tick_interval, [this, index, run] { tick(index, run); });
}

void replica_fleet::call(std::size_t index, call_number number, const call_body& body)
{
    const std::uint64_t run = daemons_[index]->run;
    if (daemons_[index]->refused) {
        time_.after(link_delay, [this, index, run, number] {
            answer(index, run, store_answer{{.number = number, .outcome = call_outcome::refused}});
        });
        return;
    }
    const auto* read = std::get_if<read_range>(&body);
    const bool stale = read != nullptr && (*read)->stale && !stale_.empty();
    time_.after(link_delay, [this, index, run, number, body, stale] {
        store_.perform(
            index, store_call{{.number = number, .body = body}}, now(),
            [this, index, run, stale](const store_answer& given) {
                const store_answer sent =
                    !stale || given->items.empty() ? given : with(given, [this](store_answer_fields& fields) {
                        fields.items = {with(fields.items.front(), [this](store_item_fields& item) {
                            item.value = stale_;
                            item.revision -= 1;
                        })};
                        fields.revision = fields.items.front()->revision;
                    });
                simulated_daemon& daemon = *daemons_[index];
                const std::size_t bytes = encoded_size(sent);
                daemon.use.received += bytes;
                daemon.received_until =
                    std::max(now() + transmission_time(bytes, store_link_mbps),
                             std::max(now(), daemon.received_until) + transmission_time(bytes, daemon.link_mbps));
                time_.at(daemon.received_until + link_delay, [this, index, run, sent] { answer(index, run, sent); });
            });
    });
}

void replica_fleet::answer(std::size_t index, std::uint64_t run, const store_answer& answer)
{
    simulated_daemon& daemon = *daemons_[index];
    if (daemon.run == run && daemon.replica != nullptr && !daemon.frozen) {
        daemon.replica->handle(answer, now());
        daemon.replica->tick(now());
    }
}

/// Time at which the last byte arrives.
instant replica_fleet::occupy(std::size_t from, std::size_t to, std::size_t bytes)
{
    simulated_daemon& sender = *daemons_[from];
    simulated_daemon& receiver = *daemons_[to];
    sender.use.sent += bytes;
    receiver.use.received += bytes;
    sender.sent_until = std::max(now(), sender.sent_until) + transmission_time(bytes, sender.link_mbps);
    receiver.received_until = std::max(sender.sent_until, std::max(now(), receiver.received_until) +
                                                              transmission_time(bytes, receiver.link_mbps));
    return receiver.received_until + link_delay;
}

void replica_fleet::send(std::size_t from, const std::string& to, const peer_message& message)
{
    const std::size_t target = index_of(to);
    if (!daemons_[from]->peers.contains(target)) {
        return;
    }
    const std::size_t bytes = peer_codec::encode(message).size() + 4;
    if (bytes > written_.size() / 4 && !written_.empty()) {
        ++daemons_[target]->use.whole_values;
    }
    const std::uint64_t run = daemons_[from]->run;
    const std::uint64_t target_run = daemons_[target]->run;
    time_.at(occupy(from, target, bytes), [this, from, target, run, target_run, message] {
        const bool connected = daemons_[target]->peers.contains(from);
        if (connected && daemons_[from]->run == run && daemons_[target]->run == target_run) {
            deliver(target, daemons_[from]->name, message);
        }
    });
}

void replica_fleet::deliver(std::size_t to, const std::string& from, const peer_message& message)
{
    simulated_daemon& daemon = *daemons_[to];
    if (daemon.replica == nullptr || daemon.frozen) {
        return;
    }
    // Each message is decoded from its encoding, so that only what is on the wire arrives.
    const auto decoded = peer_codec::decode(peer_codec::encode(message));
    if (!ok(decoded)) {
        ++daemon.log["undecodable"];
        return;
    }
    if (const auto* digest = std::get_if<store_digest>(&value_of(decoded))) {
        daemon.replica->handle(from, *digest, now());
    } else if (const auto* request = std::get_if<store_request>(&value_of(decoded))) {
        daemon.replica->handle(from, *request);
    } else if (const auto* changes = std::get_if<store_changes>(&value_of(decoded))) {
        if (!(*changes)->deltas.empty() && std::exchange(daemon.damages, false)) {
            const auto damaged = with(*changes, [](store_changes_fields& fields) {
                fields.deltas.front() = with(fields.deltas.front(), [](item_delta_fields& each) {
                    each.delta[each.delta.size() / 2] = static_cast<char>(~each.delta[each.delta.size() / 2]);
                });
            });
            daemon.replica->handle(from, damaged, now());
        } else {
            daemon.replica->handle(from, *changes, now());
        }
    }
}

std::size_t replica_fleet::index_of(const std::string& name) const
{
    return std::stoul(name.substr(1));
}

void replica_fleet::write(const std::string& document)
{
    written_ = document;
    store_.write(document_key, document, 0, now());
}

duration replica_fleet::run_until_current(duration limit)
{
    const instant begin = now();
    const auto current = [this] {
        return std::all_of(daemons_.begin(), daemons_.end(), [this](const auto& each) {
            return each->replica == nullptr || each->frozen ||
                   (!each->documents.empty() && each->documents.back() == written_);
        });
    };
    while (now() - begin < limit && !current()) {
        run(10ms);
    }
    return now() - begin;
}

void replica_fleet::refuse_store(std::size_t daemon, bool refused)
{
    daemons_[daemon]->refused = refused;
    if (refused) {
        store_.end_watches(daemon);
    }
}

void replica_fleet::set_link(std::size_t daemon, double mbps)
{
    daemons_[daemon]->link_mbps = mbps;
}

void replica_fleet::kill(std::size_t daemon)
{
    disconnect_all(daemon);
    daemons_[daemon]->replica.reset();
    ++daemons_[daemon]->run;
}

void replica_fleet::restart(std::size_t daemon)
{
    kill(daemon);
    start(daemon);
    time_.after(registration_time, [this, daemon, run = daemons_[daemon]->run] {
        if (daemons_[daemon]->run == run) {
            connect_all(daemon);
        }
    });
}

void replica_fleet::freeze(std::size_t daemon, bool frozen)
{
    daemons_[daemon]->frozen = frozen;
}

void replica_fleet::isolate(std::size_t daemon, bool isolated)
{
    daemons_[daemon]->isolated = isolated;
    isolated ? disconnect_all(daemon) : connect_all(daemon);
}

void replica_fleet::damage_next_value(std::size_t daemon)
{
    daemons_[daemon]->damages = true;
}

void replica_fleet::serve_stale(const std::string& document)
{
    stale_ = document;
}

const std::string& replica_fleet::document(std::size_t daemon) const
{
    static const std::string none;
    const auto& all = daemons_[daemon]->documents;
    return all.empty() ? none : all.back();
}

const std::vector<std::string>& replica_fleet::documents(std::size_t daemon) const
{
    return daemons_[daemon]->documents;
}

bool replica_fleet::watches(std::size_t daemon) const
{
    return daemons_[daemon]->replica != nullptr && daemons_[daemon]->replica->watches();
}

const replica_fleet::link_use& replica_fleet::use(std::size_t daemon) const
{
    return daemons_[daemon]->use;
}

void replica_fleet::reset_use()
{
    for (const auto& each : daemons_) {
        each->use = {};
    }
}

std::size_t replica_fleet::logged(std::size_t daemon, const std::string& event) const
{
    const auto found = daemons_[daemon]->log.find(event);
    return found == daemons_[daemon]->log.end() ? 0 : found->second;
}

} // namespace citronfall
