#include "support/gateway_simulation.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

bool succeeded(const std::optional<statement_reply>& reply)
{
    return reply && !(*reply)->failure && !(*reply)->receipt.empty();
}

error_kind failure_of(const std::optional<statement_reply>& reply)
{
    REQUIRE(reply);
    REQUIRE((*reply)->failure);
    return (*(*reply)->failure)->kind;
}

/// Time until a write on a new session succeeds, retried every 20 ms; nothing if none does within `limit`.
std::optional<duration> time_to_next_write(gateway_simulation& simulation, duration limit)
{
    const instant start = simulation.now();
    while (simulation.now() - start < limit) {
        const session_number session = simulation.open(0, "own");
        if (succeeded(simulation.execute(0, session, "WRITE x", 900ms))) {
            return simulation.now() - start;
        }
        simulation.disconnect(0, session);
        simulation.run(20ms);
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("statements reach members and their answers return", "[gateway]")
{
    gateway_simulation simulation({});
    REQUIRE(simulation.ready(0));
    const session_number session = simulation.open(0, "own");
    CHECK(succeeded(simulation.execute(0, session, "WRITE x")));
    CHECK(simulation.runs(simulation.last_request()) == 1);
    CHECK(succeeded(simulation.execute(0, session, "READ x")));
}

TEST_CASE("an unknown database is refused before any statement", "[gateway]")
{
    gateway_simulation simulation({});
    const session_number session = simulation.open(0, "nowhere");
    REQUIRE(simulation.replies(0, session).size() == 1);
    const auto& close = std::get<session_close>(simulation.replies(0, session).front().reply);
    REQUIRE(close->failure);
    CHECK((*close->failure)->kind == error_kind::unknown_database);
}

TEST_CASE("a session reads its own commits at any replica lag", "[gateway]")
{
    // Guards against reads on replicas that are checked against the route's staleness bound only.
    for (const duration lag : {10ms, 200ms, 5000ms}) {
        INFO("lag us " << lag.count());
        gateway_simulation simulation({.replica_lag = lag});
        const session_number session = simulation.open(0, "own");
        for (int i = 0; i < 20; ++i) {
            REQUIRE(succeeded(simulation.execute(0, session, "WRITE x")));
            const log_position written = simulation.committed();
            const auto read = simulation.execute(0, session, "READ x");
            REQUIRE(succeeded(read));
            REQUIRE((*read)->position);
            CHECK(*(*read)->position >= written);
            simulation.run(30ms);
        }
    }
}

TEST_CASE("reads on a primary route show every acknowledged commit of other sessions", "[gateway]")
{
    gateway_simulation simulation({.daemons = 2, .replica_lag = 300ms});
    const session_number writer = simulation.open(0, "own");
    const session_number reader = simulation.open(1, "fresh");
    for (int i = 0; i < 20; ++i) {
        REQUIRE(succeeded(simulation.execute(0, writer, "WRITE x")));
        const log_position written = simulation.committed();
        const auto read = simulation.execute(1, reader, "READ x");
        REQUIRE(succeeded(read));
        CHECK(*(*read)->position >= written);
    }
}

TEST_CASE("reads of bounded staleness include every commit that is older than the bound", "[gateway]")
{
    // Guards against taking the leader's position from answers that do not prove leadership, and against dating a
    // position by its answer instead of by its request.
    gateway_simulation simulation({.daemons = 2, .replica_lag = 700ms});
    const session_number writer = simulation.open(0, "own");
    const session_number reader = simulation.open(1, "aged");
    std::vector<std::pair<instant, log_position>> acknowledged;
    for (int i = 0; i < 60; ++i) {
        REQUIRE(succeeded(simulation.execute(0, writer, "WRITE x")));
        acknowledged.emplace_back(simulation.now(), simulation.committed());
        const instant asked = simulation.now();
        const auto read = simulation.execute(1, reader, "READ x");
        REQUIRE(succeeded(read));
        for (const auto& [when, position] : acknowledged) {
            if (when < asked - 1500ms) {
                CHECK(*(*read)->position >= position);
            }
        }
        simulation.run(40ms);
    }
}

TEST_CASE("replicas serve reads of bounded staleness while the leader serves writes", "[gateway]")
{
    gateway_simulation simulation({});
    const session_number session = simulation.open(0, "aged");
    for (int i = 0; i < 30; ++i) {
        REQUIRE(succeeded(simulation.execute(0, session, "READ x")));
    }
    // All reads went to replicas, so none opened a transaction on the leader.
    CHECK(simulation.connections_in_use(simulation.leader()) == 0);
}

TEST_CASE("a transaction stays on one connection and returns it", "[gateway]")
{
    gateway_simulation simulation({});
    const session_number session = simulation.open(0, "fresh");
    REQUIRE(simulation.execute(0, session, "BEGIN"));
    simulation.run(20ms);
    CHECK(simulation.connections_in_use(simulation.leader()) == 0); // BEGIN alone needs no connection.
    CHECK(succeeded(simulation.execute(0, session, "WRITE x")));
    CHECK(simulation.connections_in_use(simulation.leader()) == 1);
    CHECK(succeeded(simulation.execute(0, session, "READ x")));
    const auto committed = simulation.execute(0, session, "COMMIT");
    CHECK(succeeded(committed));
    CHECK((*committed)->state == transaction_state::none);
    CHECK(simulation.connections_in_use(simulation.leader()) == 0);
}

TEST_CASE("a caller that leaves inside a transaction commits nothing and returns the connection", "[gateway]")
{
    gateway_simulation simulation({});
    const log_position before = simulation.committed();
    const session_number session = simulation.open(0, "fresh");
    REQUIRE(simulation.execute(0, session, "BEGIN"));
    REQUIRE(succeeded(simulation.execute(0, session, "WRITE x")));
    simulation.disconnect(0, session);
    simulation.run(100ms);
    CHECK(simulation.connections_in_use(simulation.leader()) == 0);
    CHECK(simulation.committed() == before);
}

TEST_CASE("an idle transaction is ended after the configured time", "[gateway]")
{
    gateway_simulation simulation({});
    const session_number session = simulation.open(0, "fresh");
    REQUIRE(simulation.execute(0, session, "BEGIN"));
    REQUIRE(succeeded(simulation.execute(0, session, "WRITE x")));
    simulation.run(3500ms);
    CHECK(simulation.connections_in_use(simulation.leader()) == 0);
    CHECK(failure_of(simulation.execute(0, session, "COMMIT")) == error_kind::transaction_lost);
}

TEST_CASE("no connection is lost while replicas refuse reads and answers get lost", "[gateway]")
{
    // Guards against two connection leaks: a connection that is taken from the pool and not returned, and one whose
    // rollback is never answered. Either would leave a member without free connections for good.
    gateway_simulation simulation({.daemons = 2, .replica_lag = 3s, .max_connections = 6});
    std::vector<session_number> sessions;
    for (int i = 0; i < 12; ++i) {
        sessions.push_back(simulation.open(0, i % 2 == 0 ? "own" : "aged"));
    }
    for (int round = 0; round < 40; ++round) {
        if (round % 8 == 0) {
            simulation.lose_answers(simulation.leader(), 2);
        }
        for (const session_number session : sessions) {
            simulation.send(0, session, round % 4 == 0 ? "WRITE x" : "READ x");
        }
        simulation.run(100ms);
    }
    simulation.run(3s);
    simulation.set_replica_lag(10ms);
    simulation.run(1s);
    for (int i = 0; i < 6; ++i) {
        const session_number session = simulation.open(0, "own");
        CHECK(succeeded(simulation.execute(0, session, "WRITE x")));
    }
}

TEST_CASE("a read that finds no free slot on any member is served a moment later", "[gateway]")
{
    // Guards against refusing a read long before its target latency, because all members are busy at the same moment.
    gateway_simulation simulation({.daemons = 1});
    const session_number session = simulation.open(0, "aged");
    for (const char* member : {"m0", "m1", "m2"}) {
        simulation.occupy_slots(member, 1);
    }
    const instant start = simulation.now();
    CHECK(succeeded(simulation.execute(0, session, "READ x")));
    CHECK(simulation.now() - start < 250ms);
}

TEST_CASE("a write whose answer is lost is not repeated and is reported with an unknown outcome", "[gateway]")
{
    gateway_simulation simulation({});
    const session_number session = simulation.open(0, "own");
    simulation.lose_answers(simulation.leader(), 1);
    const auto reply = simulation.execute(0, session, "WRITE x");
    CHECK(failure_of(reply) == error_kind::outcome_unknown);
    CHECK(simulation.runs(simulation.last_request()) == 1);
}

TEST_CASE("a crashed leader is replaced and writes go on within the target", "[gateway]")
{
    // Target: at most 2 s from the loss of the leader to the next commit.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        gateway_simulation simulation({.daemons = 3, .seed = seed});
        const std::string before = simulation.leader();
        simulation.crash_member(before);
        const auto gap = time_to_next_write(simulation, 5s);
        REQUIRE(gap);
        CHECK(*gap <= 2s);
        CHECK(simulation.leader() != before);
        CHECK(simulation.promotions().size() == 1);
    }
}

TEST_CASE("a silent leader is replaced and writes go on within the target", "[gateway]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        gateway_simulation simulation({.daemons = 3, .seed = seed});
        simulation.silence_member(simulation.leader());
        const auto gap = time_to_next_write(simulation, 5s);
        REQUIRE(gap);
        CHECK(*gap <= 2s);
        CHECK(simulation.promotions().size() == 1);
    }
}

TEST_CASE("a daemon that is cut off from the leader and all others does not replace the leader at once", "[gateway]")
{
    // Guards against a failover by the only daemon that reaches the store while most daemons, whose entries have
    // expired, still reach the leader: the writes that they acknowledge meanwhile would be rolled back.
    for (std::size_t alone = 0; alone < 5; ++alone) {
        INFO("daemon " << alone);
        gateway_simulation simulation({.daemons = 5});
        const std::string leader = simulation.leader();
        simulation.cut_member(alone, leader, true);
        simulation.cut_peers(alone, true);
        for (std::size_t i = 0; i < 5; ++i) {
            simulation.refuse_store(i, i != alone);
        }
        simulation.run(7s);
        CHECK(simulation.promotions().empty());
        simulation.cut_member(alone, leader, false);
        simulation.cut_peers(alone, false);
        for (std::size_t i = 0; i < 5; ++i) {
            simulation.refuse_store(i, false);
        }
        simulation.run(2s);
        CHECK(simulation.promotions().empty());
    }
}

TEST_CASE("a leader that refuses connections for lack of room is not replaced", "[gateway]")
{
    // Connections of instances that lost power count for seconds. A daemon that could connect to no leader took it for
    // lost (soak, planned work, seeds 402, 407, 601).
    gateway_simulation simulation({.daemons = 5});
    const std::string leader = simulation.leader();
    simulation.reset_connections(leader);
    simulation.occupy_connections(leader, 20);
    for (std::size_t i = 0; i < 5; ++i) {
        simulation.kill(i);
    }
    for (std::size_t i = 0; i < 5; ++i) {
        simulation.start_further_daemon();
    }
    simulation.run(9s);
    CHECK(simulation.promotions().empty());
    simulation.occupy_connections(leader, 0);
    simulation.run(1s);
    const session_number session = simulation.open(5, "own");
    CHECK(succeeded(simulation.execute(5, session, "WRITE x")));
    CHECK(simulation.leader() == leader);
}

TEST_CASE("a leader that is lost while it had no room for connections is replaced", "[gateway]")
{
    gateway_simulation simulation({.daemons = 5});
    const std::string leader = simulation.leader();
    simulation.reset_connections(leader);
    simulation.occupy_connections(leader, 20);
    simulation.run(2s);
    simulation.silence_member(leader);
    const auto gap = time_to_next_write(simulation, 6s);
    REQUIRE(gap);
    CHECK(*gap <= 3500ms); // The validity of the refusals, and a change of primary.
}

TEST_CASE("all of many daemons learn in time that a member drains", "[gateway]")
{
    // Guards against sending work to a draining member after its drain bound: with many daemons the pause after an
    // earlier change delayed the next one for longer than the reserve (found on kapot-book-grown by
    // handover-during-drain --seed 229696227232).
    gateway_simulation simulation({.daemons = 48, .max_connections = 200});
    simulation.announce_drain("m2");
    simulation.run(50ms);
    simulation.announce_drain("m1");
    simulation.run(1200ms);
    for (std::size_t i = 0; i < 48; ++i) {
        INFO("daemon " << i);
        CHECK(simulation.sees_draining(i, "m1"));
    }
}

TEST_CASE("replicas that a daemon paused before it ended resume replication", "[gateway]")
{
    // Guards against replicas that lag for good because the daemon that paused their replication for a change of
    // primary ended before it resumed them.
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    simulation.pause_member("m1");
    simulation.pause_member("m2");
    REQUIRE(simulation.paused("m1"));
    simulation.terminate(0);
    simulation.terminate(1);
    simulation.run(8s);
    CHECK_FALSE(simulation.paused("m1"));
    CHECK_FALSE(simulation.paused("m2"));
}

TEST_CASE("a single remaining daemon replaces a lost leader within the bound", "[gateway]")
{
    // Guards against a service that stays without a leader as long as most daemons are down.
    gateway_simulation simulation({.daemons = 5});
    for (std::size_t i = 1; i < 5; ++i) {
        simulation.refuse_store(i, true);
    }
    simulation.cut_peers(0, true);
    simulation.silence_member(simulation.leader());
    simulation.run(9s);
    CHECK(simulation.promotions().size() == 1);
    CHECK_FALSE(simulation.leader().empty());
}

TEST_CASE("a draining leader hands over without losing a commit", "[gateway]")
{
    // Guards against promoting the successor before it has received the whole log.
    for (const duration lag : {10ms, 150ms, 400ms}) {
        INFO("lag us " << lag.count());
        gateway_simulation simulation({.daemons = 2, .replica_lag = lag});
        const session_number session = simulation.open(0, "own");
        REQUIRE(succeeded(simulation.execute(0, session, "WRITE x")));
        const log_position written = simulation.committed();
        const std::string before = simulation.leader();
        simulation.announce_drain(before);
        simulation.run(4s);
        REQUIRE(simulation.leader() != before);
        CHECK(simulation.committed()->index >= written->index);
        CHECK(succeeded(simulation.execute(0, session, "WRITE x")));
    }
}

TEST_CASE("requests that need a leader wait for a change of primary that ends in time", "[gateway]")
{
    gateway_simulation simulation({.daemons = 2});
    const session_number session = simulation.open(0, "fresh");
    simulation.crash_member(simulation.leader());
    simulation.run(30ms);
    const auto reply = simulation.execute(0, session, "WRITE x", 900ms);
    REQUIRE(reply);
    INFO(((*reply)->failure ? (*(*reply)->failure)->detail : std::string("done")));
    CHECK(succeeded(reply));
}

TEST_CASE("a daemon that the store refuses gets a new configuration from its peers", "[gateway]")
{
    // Target: in effect within 3 s.
    gateway_simulation simulation({.daemons = 2});
    simulation.refuse_store(1, true);
    simulation.run(500ms);
    simulation.write_configuration(2, {"fresh", "aged", "own", "added"});
    simulation.run(3s);
    const session_number session = simulation.open(1, "added");
    CHECK(std::holds_alternative<session_ready>(simulation.replies(1, session).front().reply));
}

TEST_CASE("a removed route is refused from the next transaction on", "[gateway]")
{
    gateway_simulation simulation({});
    const session_number session = simulation.open(0, "own");
    REQUIRE(succeeded(simulation.execute(0, session, "READ x")));
    simulation.write_configuration(2, {"fresh", "aged"});
    simulation.run(1s);
    CHECK(failure_of(simulation.execute(0, session, "READ x")) == error_kind::unknown_database);
}

TEST_CASE("a terminated daemon interrupts no work and exits within its grace period", "[gateway]")
{
    // The grace period is 6 s; open transactions may use the first half of it.
    gateway_simulation simulation({.daemons = 2});
    const session_number idle = simulation.open(0, "own");
    const session_number busy = simulation.open(0, "fresh");
    REQUIRE(simulation.execute(0, busy, "BEGIN"));
    REQUIRE(succeeded(simulation.execute(0, busy, "WRITE x")));
    simulation.terminate(0);
    simulation.run(50ms);
    CHECK_FALSE(simulation.ready(0));
    CHECK(succeeded(simulation.execute(0, idle, "READ x"))); // Still served until the load balancer has noticed.
    simulation.run(1s);
    const auto committed = simulation.execute(0, busy, "COMMIT");
    CHECK(succeeded(committed));
    simulation.run(4700ms);
    CHECK(simulation.stopped(0));
    const auto& last = simulation.replies(0, idle).back().reply;
    REQUIRE(std::holds_alternative<session_close>(last));
    REQUIRE(std::get<session_close>(last)->failure);
    CHECK((*std::get<session_close>(last)->failure)->kind == error_kind::leaving);
}

TEST_CASE("a draining daemon refuses new sessions once the load balancer has noticed", "[gateway]")
{
    // Guards against sessions that are accepted and then lost when the process exits.
    gateway_simulation simulation({.daemons = 2});
    const session_number kept = simulation.open(0, "fresh");
    REQUIRE(simulation.execute(0, kept, "BEGIN"));
    REQUIRE(succeeded(simulation.execute(0, kept, "WRITE x")));
    simulation.terminate(0);
    simulation.run(2s);
    const session_number late = simulation.open(0, "own");
    const auto& close = std::get<session_close>(simulation.replies(0, late).front().reply);
    REQUIRE(close->failure);
    CHECK((*close->failure)->kind == error_kind::leaving);
}

TEST_CASE("the failover lock of a terminated daemon moves on, so that a later change of primary succeeds", "[gateway]")
{
    gateway_simulation simulation({.daemons = 3});
    simulation.terminate(0);
    simulation.run(6s);
    simulation.terminate(1);
    simulation.run(6s);
    simulation.crash_member(simulation.leader());
    simulation.run(2s);
    CHECK_FALSE(simulation.leader().empty());
    const session_number session = simulation.open(2, "own");
    CHECK(succeeded(simulation.execute(2, session, "WRITE x")));
}

TEST_CASE("the log names the request that was unanswered when its session ended, and where it was", "[gateway]")
{
    gateway_simulation simulation({});
    const session_number session = simulation.open(0, "own");
    simulation.silence_member("m0");
    simulation.send(0, session, "WRITE x");
    const std::string request = simulation.last_request();
    simulation.run(20ms);
    simulation.disconnect(0, session);
    simulation.run(20ms);
    const auto ended = simulation.logged(0, "session_ended");
    REQUIRE(ended.size() == 1);
    CHECK(ended.front() == "session=" + std::to_string(session) +
                               " database=own reason=caller_closed transaction=none unsent_bytes=0 unread_bytes=0 "
                               "unanswered=1 id=" +
                               request + " stage=running member=m0");
}

TEST_CASE("the log names the daemon that an unanswered request was relayed to", "[gateway]")
{
    gateway_simulation simulation({.daemons = 12, .max_connections = 16});
    simulation.silence_member("m0");
    std::size_t relayed = 0;
    for (std::size_t daemon = 0; daemon < 12; ++daemon) {
        const session_number session = simulation.open(daemon, "own");
        simulation.send(daemon, session, "WRITE x");
        simulation.run(20ms);
        const bool sent_on = !simulation.logged(daemon, "statement_relayed").empty();
        simulation.disconnect(daemon, session);
        simulation.run(20ms);
        const auto ended = simulation.logged(daemon, "session_ended");
        REQUIRE(ended.size() == 1);
        CHECK((ended.front().find(" stage=relayed peer=d") != std::string::npos) == sent_on);
        relayed += sent_on ? 1 : 0;
    }
    CHECK(relayed > 0);
}

TEST_CASE("a restored store has what was written before the copy, and what is written again", "[gateway]")
{
    gateway_simulation simulation({});
    const auto copy = simulation.save_store();
    const auto original = simulation.stored("op/config");
    simulation.write_configuration(2, {"fresh"});
    simulation.announce_drain("m1");
    const auto changed = simulation.stored("op/config");
    simulation.restore_store(copy);
    CHECK(simulation.store_era() == 2);
    CHECK(simulation.stored("op/config") == original);
    CHECK(simulation.stored("members/m1") == "m1 ready");
    simulation.rewrite_store();
    CHECK(simulation.stored("op/config") == changed);
    CHECK(simulation.stored("members/m1") == "m1 draining");
}

// Guards against a primary that is replaced because answers to a poll of the daemon's former run count for a new one.
TEST_CASE("a restarted daemon numbers its polls differently than its former run", "[gateway]")
{
    gateway_simulation simulation({.daemons = 3});
    std::map<std::size_t, std::set<std::uint64_t>> sent;
    std::size_t polls = 0;
    std::size_t runs_with_polls = 0;
    for (int round = 0; round < 4; ++round) {
        const std::string silenced = simulation.leader();
        simulation.silence_member(silenced);
        simulation.run(4s);
        for (std::size_t daemon = 0; daemon < simulation.daemons(); ++daemon) {
            const std::set<std::uint64_t> numbers = simulation.take_polls(daemon);
            runs_with_polls += numbers.empty() ? 0 : 1;
            polls += numbers.size();
            sent[daemon].insert(numbers.begin(), numbers.end());
            simulation.restart_daemon(daemon);
        }
        simulation.heal_member(silenced);
        simulation.run(4s);
    }
    std::size_t different = 0;
    for (const auto& [daemon, numbers] : sent) {
        different += numbers.size();
    }
    CHECK(runs_with_polls > simulation.daemons()); // Thus one daemon has polled in two runs.
    CHECK(different == polls);
}
