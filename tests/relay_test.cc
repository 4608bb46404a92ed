#include "peer/peer_codec.h"
#include "peer/peer_command_producer.h"
#include "relay/assigned_daemons.h"
#include "relay/service_assignment.h"
#include "relay/statement_relay.h"
#include "support/gateway_simulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

/// Daemons of equal capacity in one data centre.
std::vector<relay_candidate> equal_daemons(std::size_t count)
{
    std::vector<relay_candidate> list;
    for (std::size_t i = 0; i < count; ++i) {
        list.push_back(relay_candidate{{.name = "frontend-" + std::to_string(i), .data_center = "dc"}});
    }
    return list;
}

/// Daemons as on a large deployment: in five data centres, three of each with more than four times the capacity.
std::vector<relay_candidate> mixed_daemons()
{
    std::vector<relay_candidate> list;
    for (std::size_t i = 0; i < 295; ++i) {
        list.push_back(relay_candidate{{.name = "frontend-" + std::to_string(i),
                                        .data_center = "dc" + std::to_string(i % 5),
                                        .capacity = i < 15 ? 0.5 : 0.12}});
    }
    return list;
}

/// Limits of the connections to members, by service.
std::map<std::string, std::uint32_t> limits_of(std::size_t services, std::uint32_t limit)
{
    std::map<std::string, std::uint32_t> limits;
    for (std::size_t i = 0; i < services; ++i) {
        limits["s" + std::to_string(i)] = limit;
    }
    return limits;
}

std::string data_center_of(const std::string& name, const std::vector<relay_candidate>& daemons)
{
    return (*std::find_if(daemons.begin(), daemons.end(),
                          [&](const relay_candidate& each) { return each->name == name; }))
        ->data_center;
}

bool succeeded(const std::optional<statement_reply>& reply)
{
    return reply && !(*reply)->failure && !(*reply)->receipt.empty();
}

/// Options for a deployment in which each daemon cannot have a connection to each member.
gateway_simulation::options scarce_connections()
{
    return {.daemons = 12, .max_connections = 16};
}

std::vector<std::size_t> assigned_indexes(const gateway_simulation::options& chosen)
{
    std::vector<relay_candidate> daemons;
    for (std::size_t i = 0; i < chosen.daemons; ++i) {
        daemons.push_back(relay_candidate{{.name = "d" + std::to_string(i), .data_center = "dc"}});
    }
    std::vector<std::size_t> indexes;
    const auto assigned = assigned_daemons({{"ledger", chosen.max_connections}}, daemons).at("ledger");
    for (const std::string& each : assigned) {
        indexes.push_back(std::stoul(each.substr(1)));
    }
    return indexes;
}

std::vector<std::size_t> relaying_indexes(const gateway_simulation::options& chosen)
{
    const auto assigned = assigned_indexes(chosen);
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < chosen.daemons; ++i) {
        if (std::find(assigned.begin(), assigned.end(), i) == assigned.end()) {
            indexes.push_back(i);
        }
    }
    return indexes;
}

using caller_sessions = std::map<std::size_t, session_number>; ///< One session by daemon.

/// Sends writes on all sessions, one at a time on each and spread over time. Returns how often each error occurred.
std::map<error_kind, std::size_t> write_repeatedly(gateway_simulation& simulation, const caller_sessions& sessions,
                                                   duration length)
{
    constexpr std::size_t groups = 8;
    std::map<std::size_t, std::size_t> sent;
    const instant end = simulation.now() + length;
    for (std::size_t round = 0; simulation.now() < end; ++round) {
        for (const auto& [daemon, session] : sessions) {
            const bool due = daemon % groups == round % groups;
            if (due && simulation.replies(daemon, session).size() == 1 + sent[daemon]) {
                ++sent[daemon];
                simulation.send(daemon, session, "WRITE x");
            }
        }
        simulation.run(10ms);
    }
    simulation.run(1s);
    std::map<error_kind, std::size_t> failures;
    for (const auto& [daemon, session] : sessions) {
        const auto& replies = simulation.replies(daemon, session); // The first one reports that the session is ready.
        REQUIRE(replies.size() == 1 + sent[daemon]);
        for (std::size_t i = 1; i < replies.size(); ++i) {
            const auto* reply = std::get_if<statement_reply>(&replies[i].reply);
            REQUIRE(reply != nullptr);
            if ((*reply)->failure) {
                ++failures[(*(*reply)->failure)->kind];
            }
        }
    }
    return failures;
}

/// Opens a session on each daemon that relays statements.
caller_sessions open_on_relaying_daemons(gateway_simulation& simulation, const gateway_simulation::options& chosen)
{
    caller_sessions sessions;
    for (const std::size_t daemon : relaying_indexes(chosen)) {
        sessions[daemon] = simulation.open(daemon, "own");
    }
    return sessions;
}

} // namespace

TEST_CASE("all daemons are assigned to a service while each can keep a connection", "[relay]")
{
    CHECK(assigned_daemon_count(22, 7) == 7);
    CHECK(assigned_daemon_count(206, 82) == 82);
    CHECK(assigned_daemon_count(0, 5) == 5);
}

TEST_CASE("few enough daemons are assigned that each keeps several connections", "[relay]")
{
    // 46 connections per member are not enough for one from each of 74 daemons.
    const std::size_t assigned = assigned_daemon_count(46, 74);
    CHECK(assigned >= 3);
    CHECK(assigned * 3 <= 46);
}

TEST_CASE("services are spread over the daemons, and removing a daemon reassigns few", "[relay]")
{
    const auto daemons = equal_daemons(74);
    const auto before = assigned_daemons(limits_of(400, 46), daemons);
    std::map<std::string, std::size_t> load;
    for (const auto& [service, assigned] : before) {
        for (const std::string& daemon : assigned) {
            ++load[daemon];
        }
    }
    const double mean = 400.0 * static_cast<double>(assigned_daemon_count(46, 74)) / 74;
    for (const auto& [daemon, count] : load) {
        INFO(daemon);
        CHECK(static_cast<double>(count) <= 1.5 * mean);
    }
    // Removing one daemon replaces it in the lists of its services, and little else.
    auto fewer = daemons;
    const std::string removed = before.begin()->second.front();
    std::erase_if(fewer, [&](const relay_candidate& each) { return each->name == removed; });
    std::size_t lost = 0;
    for (const auto& [service, assigned] : assigned_daemons(limits_of(400, 46), fewer)) {
        for (const std::string& each : before.at(service)) {
            lost += std::find(assigned.begin(), assigned.end(), each) == assigned.end() ? 1 : 0;
        }
    }
    CHECK(lost >= load[removed]);
    CHECK(lost <= 3 * load[removed]);
}

TEST_CASE("the assignment of one service follows ranks alone, so removing a daemon replaces only that one", "[relay]")
{
    const auto daemons = equal_daemons(74);
    const auto before = assigned_daemons({{"s1", 46}}, daemons).at("s1");
    auto fewer = daemons;
    std::erase_if(fewer, [&](const relay_candidate& each) { return each->name == before.front(); });
    const auto after = assigned_daemons({{"s1", 46}}, fewer).at("s1");
    const auto kept = std::count_if(after.begin(), after.end(), [&](const std::string& each) {
        return std::find(before.begin(), before.end(), each) != before.end();
    });
    CHECK(static_cast<std::size_t>(kept) == before.size() - 1);
}

TEST_CASE("daemons spread their relayed statements over the assigned daemons", "[relay]")
{
    const auto daemons = equal_daemons(74);
    std::map<std::string, std::size_t> first;
    std::size_t assigned = 0;
    for (const relay_candidate& daemon : daemons) {
        const service_assignment seen = make_service_assignments({{"s1", 46}}, daemons, daemon).at("s1");
        assigned = seen->assigned.size();
        if (!seen->self_assigned) {
            ++first[seen->targets.front()];
        }
    }
    CHECK(first.size() == assigned);
}

TEST_CASE("each data centre has assigned daemons, to which its daemons relay", "[relay]")
{
    const auto daemons = mixed_daemons();
    for (const relay_candidate& self : daemons) {
        for (const auto& [service, seen] : make_service_assignments(limits_of(20, 131), daemons, self)) {
            std::map<std::string, std::size_t> places;
            for (const std::string& each : seen->assigned) {
                ++places[data_center_of(each, daemons)];
            }
            CHECK(places.size() == 5);
            CHECK(data_center_of(seen->targets.front(), daemons) == self->data_center);
        }
    }
}

TEST_CASE("assigned daemons work in proportion to their capacity", "[relay]")
{
    // Guards against small instances that hold the connections of many services: with equal chances the busiest one had
    // more than three times the mean.
    const auto daemons = mixed_daemons();
    std::map<std::string, double>
        load; // If each daemon has one statement a service, and relays to the less busy of two.
    for (const relay_candidate& self : daemons) {
        for (const auto& [service, seen] : make_service_assignments(limits_of(200, 131), daemons, self)) {
            if (seen->self_assigned) {
                load[self->name] += 1;
            } else {
                load[seen->targets[0]] += 0.5;
                load[seen->targets[1]] += 0.5;
            }
        }
    }
    double total = 0;
    double capacity = 0;
    double highest = 0;
    for (const relay_candidate& each : daemons) {
        total += load[each->name];
        capacity += each->capacity;
        highest = std::max(highest, load[each->name] / each->capacity);
    }
    INFO("highest load by capacity against the mean: " << highest / (total / capacity));
    CHECK(highest <= 1.5 * total / capacity);
}

TEST_CASE("no small daemon has many of a few services", "[relay]")
{
    const auto daemons = mixed_daemons();
    std::map<std::string, std::size_t> services;
    for (const auto& [service, assigned] : assigned_daemons(limits_of(20, 131), daemons)) {
        for (const std::string& each : assigned) {
            ++services[each];
        }
    }
    for (const relay_candidate& each : daemons) {
        INFO(each->name << " of capacity " << each->capacity);
        CHECK(services[each->name] <= (each->capacity < 0.2 ? 2 : 7));
    }
}

TEST_CASE("relayed messages are unchanged by encoding and decoding", "[relay]")
{
    const relayed_statement sent{
        {.number = 5,
         .request = task_request{{.request_id = "q1",
                                  .query = parsed_statement{{.verb = statement_verb::execute,
                                                             .text = "EXECUTE s1 a b",
                                                             .name = "s1",
                                                             .argument = "a b"}},
                                  .shape = prepared_shape{{.shape = "q2c", .writes = true}},
                                  .matched_route = route{{.name = "r",
                                                          .database = "db",
                                                          .service = "s",
                                                          .consistency = read_consistency::read_your_writes,
                                                          .statement_timeout = 800ms,
                                                          .target_latency = 250ms,
                                                          .max_staleness = 2500ms,
                                                          .priority = 2}},
                                  .kind = transaction_step::opens_transaction,
                                  .writes = true,
                                  .wrote_before = true,
                                  .values = {{"name", "a value"}}}},
         .own_commit_age = 20ms,
         .transaction = 9}};
    const auto read = peer_codec::decode(peer_codec::encode(sent));
    REQUIRE(ok(read));
    CHECK(std::get<relayed_statement>(value_of(read)) == sent);
    const relayed_outcome outcome{
        {.number = 5,
         .outcome = task_outcome{{.rows = {"a b", "c"},
                                  .receipt = "7.1",
                                  .failure = error{{.kind = error_kind::transaction_lost, .detail = "why"}},
                                  .state = transaction_state::open,
                                  .position = log_position{{.term = 2, .index = 7}},
                                  .leads = true,
                                  .member = "i-1"}},
         .transaction = 9}};
    const auto answer = peer_codec::decode(peer_codec::encode(outcome));
    REQUIRE(ok(answer));
    CHECK(std::get<relayed_outcome>(value_of(answer)) == outcome);
}

// Guards against relayed statements that wait for their timeout because the ring of peer commands was full.
TEST_CASE("a full ring of peer commands loses and reorders no relayed work", "[relay]")
{
    bounded_ring<peer_service_command> ring({.capacity = 2});
    peer_command_producer producer(ring);
    const std::vector<peer_service_command> commands{
        outgoing_peer_message{{.to = "d1", .message = relayed_statement{{.number = 1}}}},
        outgoing_peer_message{{.to = "d1", .message = relayed_statement{{.number = 2}}}},
        outgoing_peer_message{{.to = "d1", .message = relayed_outcome{{.number = 3}}}},
        peer_candidates{{.addresses = {"127.0.0.1:1"}}},
        outgoing_peer_message{{.to = "d1", .message = relayed_end{{.number = 1}}}}};
    for (const peer_service_command& each : commands) {
        producer.push(each);
    }
    CHECK_FALSE(producer.flush());
    std::vector<peer_service_command> taken;
    while (auto command = ring.try_pop()) {
        taken.push_back(*std::move(command));
        producer.flush();
    }
    CHECK(taken == commands);
    CHECK(producer.flush());
}

// Guards against a queue that grows by digests while a thread does not take its commands.
TEST_CASE("a full ring of peer commands drops digests", "[relay]")
{
    bounded_ring<peer_service_command> ring({.capacity = 1});
    peer_command_producer producer(ring);
    producer.push(outgoing_peer_message{{.message = store_digest{{.store_live = true}}}});
    producer.push(outgoing_peer_message{{.message = store_digest{{.store_live = false}}}});
    CHECK(ring.try_pop());
    CHECK(producer.flush());
    CHECK(ring.size() == 0);
}

// Guards against a caller of a restarted daemon that gets the answer to a statement of the daemon's former run.
TEST_CASE("an answer to a statement of a daemon's former run is not taken for one of its new run", "[relay]")
{
    std::size_t finished = 0;
    const statement_relay_hooks hooks{
        .send = [](const std::string&, const peer_message&) {},
        .finished = [&](const task_request&, const task_outcome&, instant) { ++finished; },
        .log =
            [](const std::string&, const std::string&) {
            }};
    statement_relay former(hooks, 1);
    statement_relay restarted(hooks, 2);
    const task_request request{{.matched_route = route{{.statement_timeout = 800ms}}}};
    const task_number late = former.submit("d1", request, instant{});
    const task_number own = restarted.submit("d1", request, instant{});
    restarted.handle("d1", relayed_outcome{{.number = late}}, instant{});
    CHECK(finished == 0);
    restarted.handle("d1", relayed_outcome{{.number = own}}, instant{});
    CHECK(finished == 1);
    CHECK(statement_relay::is_remote_connection(own));
}

TEST_CASE("every daemon serves callers with fewer connections per member than daemons", "[relay]")
{
    // When each daemon opened its own connections instead, 39% of requests were rejected.
    gateway_simulation simulation(scarce_connections());
    for (std::size_t daemon = 0; daemon < 12; ++daemon) {
        INFO("daemon " << daemon);
        REQUIRE(simulation.ready(daemon));
        const session_number session = simulation.open(daemon, "own");
        CHECK(succeeded(simulation.execute(daemon, session, "WRITE x")));
        const log_position written = simulation.committed();
        const auto read = simulation.execute(daemon, session, "READ x");
        REQUIRE(succeeded(read));
        CHECK(*(*read)->position >= written);
    }
}

TEST_CASE("a relayed transaction stays on one daemon and releases its connection at the end", "[relay]")
{
    gateway_simulation simulation(scarce_connections());
    for (std::size_t daemon = 0; daemon < 12; ++daemon) {
        INFO("daemon " << daemon);
        const session_number session = simulation.open(daemon, "fresh");
        REQUIRE(simulation.execute(daemon, session, "BEGIN"));
        REQUIRE(succeeded(simulation.execute(daemon, session, "WRITE x")));
        CHECK(simulation.connections_in_use(simulation.leader()) == 1);
        REQUIRE(succeeded(simulation.execute(daemon, session, "READ x")));
        CHECK(succeeded(simulation.execute(daemon, session, "COMMIT")));
        CHECK(simulation.connections_in_use(simulation.leader()) == 0);
        const session_number left = simulation.open(daemon, "fresh");
        REQUIRE(simulation.execute(daemon, left, "BEGIN"));
        REQUIRE(succeeded(simulation.execute(daemon, left, "WRITE x")));
        simulation.disconnect(daemon, left);
        simulation.run(50ms);
        CHECK(simulation.connections_in_use(simulation.leader()) == 0);
    }
}

TEST_CASE("reads on a primary route see the latest commit through any daemon", "[relay]")
{
    gateway_simulation simulation(scarce_connections());
    const session_number writer = simulation.open(0, "own");
    for (std::size_t daemon = 0; daemon < 12; ++daemon) {
        REQUIRE(succeeded(simulation.execute(0, writer, "WRITE x")));
        const log_position written = simulation.committed();
        const session_number reader = simulation.open(daemon, "fresh");
        const auto read = simulation.execute(daemon, reader, "READ x");
        REQUIRE(succeeded(read));
        CHECK(*(*read)->position >= written);
    }
}

TEST_CASE("a relayed write whose answer is lost runs once and has an unknown outcome", "[relay]")
{
    gateway_simulation simulation(scarce_connections());
    for (std::size_t daemon = 0; daemon < 12; ++daemon) {
        const session_number session = simulation.open(daemon, "own");
        simulation.lose_answers(simulation.leader(), 1);
        const auto reply = simulation.execute(daemon, session, "WRITE x");
        REQUIRE(reply);
        REQUIRE((*reply)->failure);
        CHECK((*(*reply)->failure)->kind == error_kind::outcome_unknown);
        CHECK(simulation.runs(simulation.last_request()) == 1);
    }
}

TEST_CASE("daemons that relay statements also recover from a crash of the leader", "[relay]")
{
    gateway_simulation simulation(scarce_connections());
    simulation.crash_member(simulation.leader());
    simulation.run(2s);
    for (std::size_t daemon = 0; daemon < 12; ++daemon) {
        INFO("daemon " << daemon);
        const session_number session = simulation.open(daemon, "own");
        CHECK(succeeded(simulation.execute(daemon, session, "WRITE x")));
    }
}

TEST_CASE("daemons that drain leave no relayed transaction open", "[relay]")
{
    gateway_simulation simulation(scarce_connections());
    for (std::size_t daemon = 0; daemon < 4; ++daemon) {
        simulation.terminate(daemon);
    }
    simulation.run(8s);
    for (std::size_t daemon = 4; daemon < 12; ++daemon) {
        INFO("daemon " << daemon);
        const session_number session = simulation.open(daemon, "own");
        CHECK(succeeded(simulation.execute(daemon, session, "WRITE x")));
    }
    CHECK(simulation.connections_in_use(simulation.leader()) == 0);
}

TEST_CASE("a draining daemon does not cut the transactions that others relayed to it", "[relay]")
{
    gateway_simulation simulation(scarce_connections());
    std::map<std::size_t, session_number> open;
    for (const std::size_t daemon : relaying_indexes(scarce_connections())) {
        open[daemon] = simulation.open(daemon, "fresh");
        REQUIRE(simulation.execute(daemon, open[daemon], "BEGIN"));
        REQUIRE(succeeded(simulation.execute(daemon, open[daemon], "WRITE x")));
    }
    for (const std::size_t daemon : assigned_indexes(scarce_connections())) {
        simulation.terminate(daemon);
    }
    simulation.run(2s);
    for (const auto& [daemon, session] : open) {
        INFO("daemon " << daemon);
        CHECK(succeeded(simulation.execute(daemon, session, "WRITE y")));
        CHECK(succeeded(simulation.execute(daemon, session, "COMMIT")));
    }
}

TEST_CASE("a draining daemon ends relayed transactions that stay idle after half of the grace period", "[relay]")
{
    gateway_simulation simulation(scarce_connections());
    const std::size_t daemon = relaying_indexes(scarce_connections()).front();
    const session_number session = simulation.open(daemon, "fresh");
    REQUIRE(simulation.execute(daemon, session, "BEGIN"));
    REQUIRE(succeeded(simulation.execute(daemon, session, "WRITE x")));
    const auto assigned = assigned_indexes(scarce_connections());
    for (const std::size_t each : assigned) {
        simulation.terminate(each);
    }
    for (int i = 0; i < 14; ++i) {
        simulation.run(200ms);
        REQUIRE(succeeded(simulation.execute(daemon, session, "READ x")));
    }
    simulation.run(700ms);
    CHECK(simulation.connections_in_use(simulation.leader()) == 0);
    CHECK(std::all_of(assigned.begin(), assigned.end(), [&](std::size_t each) { return simulation.stopped(each); }));
    const auto reply = simulation.execute(daemon, session, "COMMIT");
    REQUIRE(reply);
    REQUIRE((*reply)->failure);
    CHECK((*(*reply)->failure)->kind == error_kind::transaction_lost);
}

TEST_CASE("a daemon that has not yet learned of its assignment finds the primary for relayed statements", "[relay]")
{
    const gateway_simulation::options chosen{.daemons = 74, .max_connections = 46};
    gateway_simulation simulation(chosen);
    const caller_sessions sessions = open_on_relaying_daemons(simulation, chosen);
    simulation.terminate(assigned_indexes(chosen).front());
    CHECK_FALSE(write_repeatedly(simulation, sessions, 5s).contains(error_kind::no_primary));
}

TEST_CASE("no statement is lost on its way to an assigned daemon that shuts down", "[relay]")
{
    const gateway_simulation::options chosen{.daemons = 74, .max_connections = 46};
    gateway_simulation simulation(chosen);
    const caller_sessions sessions = open_on_relaying_daemons(simulation, chosen);
    simulation.terminate(assigned_indexes(chosen).front());
    CHECK(write_repeatedly(simulation, sessions, 5s).empty());
}

TEST_CASE("a read transaction whose first statement a leaving daemon refuses has failed", "[relay]")
{
    // Guards against a refusal that ends the transaction, so that the next statement runs outside it.
    std::vector<relayed_outcome> outcomes;
    statement_relay relay(
        {.send = [&outcomes](const std::string&,
                             const peer_message& message) { outcomes.push_back(std::get<relayed_outcome>(message)); },
         .accepts =
             [] {
                 return false;
             }},
        1);
    const task_request request{{.query = parsed_statement{{.verb = statement_verb::read, .text = "READ x"}},
                                .kind = transaction_step::opens_read_transaction}};
    relay.handle("d1", relayed_statement{{.number = 1, .request = request}}, {});
    REQUIRE(outcomes.size() == 1);
    CHECK(outcomes.front()->outcome->state == transaction_state::failed);
}
