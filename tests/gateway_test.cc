#include "support/gateway_world.h"

#include <catch2/catch.hpp>

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

/// Time until a write on a new session succeeds, asked again every 20 ms; nothing after `longest`.
std::optional<duration> time_to_next_write(gateway_world& world, duration longest)
{
    const instant start = world.now();
    while (world.now() - start < longest) {
        const session_number session = world.open(0, "own");
        if (succeeded(world.ask(0, session, "WRITE x", 900ms))) {
            return world.now() - start;
        }
        world.leave(0, session);
        world.run(20ms);
    }
    return std::nullopt;
}

} // namespace

TEST_CASE("statements reach members and their answers return", "[gateway]")
{
    gateway_world world({});
    REQUIRE(world.ready(0));
    const session_number session = world.open(0, "own");
    CHECK(succeeded(world.ask(0, session, "WRITE x")));
    CHECK(world.runs(world.last_request()) == 1);
    CHECK(succeeded(world.ask(0, session, "READ x")));
}

TEST_CASE("an unknown database is refused before any statement", "[gateway]")
{
    gateway_world world({});
    const session_number session = world.open(0, "nowhere");
    REQUIRE(world.replies(0, session).size() == 1);
    const auto& close = std::get<session_close>(world.replies(0, session).front().reply);
    REQUIRE(close->failure);
    CHECK((*close->failure)->kind == error_kind::unknown_database);
}

TEST_CASE("a session reads its own commit whatever the replicas lag", "[gateway]")
{
    // Guards against replica reads that only look at the route's staleness bound.
    for (const duration lag : {10ms, 200ms, 5000ms}) {
        INFO("lag us " << lag.count());
        gateway_world world({.replica_lag = lag});
        const session_number session = world.open(0, "own");
        for (int i = 0; i < 20; ++i) {
            REQUIRE(succeeded(world.ask(0, session, "WRITE x")));
            const log_position written = world.committed();
            const auto read = world.ask(0, session, "READ x");
            REQUIRE(succeeded(read));
            REQUIRE((*read)->position);
            CHECK(*(*read)->position >= written);
            world.run(30ms);
        }
    }
}

TEST_CASE("reads on a primary route show every acknowledged commit of other sessions", "[gateway]")
{
    gateway_world world({.daemons = 2, .replica_lag = 300ms});
    const session_number writer = world.open(0, "own");
    const session_number reader = world.open(1, "fresh");
    for (int i = 0; i < 20; ++i) {
        REQUIRE(succeeded(world.ask(0, writer, "WRITE x")));
        const log_position written = world.committed();
        const auto read = world.ask(1, reader, "READ x");
        REQUIRE(succeeded(read));
        CHECK(*(*read)->position >= written);
    }
}

TEST_CASE("reads of bounded age never lack a commit that is older than the bound", "[gateway]")
{
    // Guards against evidence from answers that prove no lead, and against positions that count from the answer.
    gateway_world world({.daemons = 2, .replica_lag = 700ms});
    const session_number writer = world.open(0, "own");
    const session_number reader = world.open(1, "aged");
    std::vector<std::pair<instant, log_position>> acknowledged;
    for (int i = 0; i < 60; ++i) {
        REQUIRE(succeeded(world.ask(0, writer, "WRITE x")));
        acknowledged.emplace_back(world.now(), world.committed());
        const instant asked = world.now();
        const auto read = world.ask(1, reader, "READ x");
        REQUIRE(succeeded(read));
        for (const auto& [when, position] : acknowledged) {
            if (when < asked - 1500ms) {
                CHECK(*(*read)->position >= position);
            }
        }
        world.run(40ms);
    }
}

TEST_CASE("replicas serve reads of bounded age while the leader serves writes", "[gateway]")
{
    gateway_world world({});
    const session_number session = world.open(0, "aged");
    for (int i = 0; i < 30; ++i) {
        REQUIRE(succeeded(world.ask(0, session, "READ x")));
    }
    // All reads went to replicas: none left a transaction or a queue on the leader.
    CHECK(world.connections_in_use(world.leader()) == 0);
}

TEST_CASE("a transaction stays on one connection and returns it", "[gateway]")
{
    gateway_world world({});
    const session_number session = world.open(0, "fresh");
    REQUIRE(world.ask(0, session, "BEGIN"));
    CHECK(world.connections_in_use(world.leader()) == 0); // BEGIN alone takes no connection.
    CHECK(succeeded(world.ask(0, session, "WRITE x")));
    CHECK(world.connections_in_use(world.leader()) == 1);
    CHECK(succeeded(world.ask(0, session, "READ x")));
    const auto committed = world.ask(0, session, "COMMIT");
    CHECK(succeeded(committed));
    CHECK((*committed)->state == transaction_state::none);
    CHECK(world.connections_in_use(world.leader()) == 0);
}

TEST_CASE("a caller that leaves inside a transaction commits nothing and returns the connection", "[gateway]")
{
    gateway_world world({});
    const log_position before = world.committed();
    const session_number session = world.open(0, "fresh");
    REQUIRE(world.ask(0, session, "BEGIN"));
    REQUIRE(succeeded(world.ask(0, session, "WRITE x")));
    world.leave(0, session);
    world.run(100ms);
    CHECK(world.connections_in_use(world.leader()) == 0);
    CHECK(world.committed() == before);
}

TEST_CASE("an idle transaction is ended after the configured time", "[gateway]")
{
    gateway_world world({});
    const session_number session = world.open(0, "fresh");
    REQUIRE(world.ask(0, session, "BEGIN"));
    REQUIRE(succeeded(world.ask(0, session, "WRITE x")));
    world.run(3500ms);
    CHECK(world.connections_in_use(world.leader()) == 0);
    CHECK(failure_of(world.ask(0, session, "COMMIT")) == error_kind::transaction_lost);
}

TEST_CASE("no connection is lost while replicas refuse reads and answers get lost", "[gateway]")
{
    // Guards against an idle connection that is handed out and never returned, and against a rollback whose answer is
    // lost: either left a member without free connections for good.
    gateway_world world({.daemons = 2, .replica_lag = 3s, .max_connections = 6});
    std::vector<session_number> sessions;
    for (int i = 0; i < 12; ++i) {
        sessions.push_back(world.open(0, i % 2 == 0 ? "own" : "aged"));
    }
    for (int round = 0; round < 40; ++round) {
        if (round % 8 == 0) {
            world.lose_answers(world.leader(), 2);
        }
        for (const session_number session : sessions) {
            world.send(0, session, round % 4 == 0 ? "WRITE x" : "READ x");
        }
        world.run(100ms);
    }
    world.run(3s);
    world.set_replica_lag(10ms);
    world.run(1s);
    for (int i = 0; i < 6; ++i) {
        const session_number session = world.open(0, "own");
        CHECK(succeeded(world.ask(0, session, "WRITE x")));
    }
}

TEST_CASE("a read that finds no free slot on any member is served a moment later", "[gateway]")
{
    // Guards against refusals of reads whose target is far off, because each member had a crest at the same time.
    gateway_world world({.daemons = 1});
    const session_number session = world.open(0, "aged");
    for (const char* member : {"m0", "m1", "m2"}) {
        world.take_slots(member, 1);
    }
    const instant start = world.now();
    CHECK(succeeded(world.ask(0, session, "READ x")));
    CHECK(world.now() - start < 250ms);
}

TEST_CASE("a write whose answer is lost is neither repeated nor called not run", "[gateway]")
{
    gateway_world world({});
    const session_number session = world.open(0, "own");
    world.lose_answers(world.leader(), 1);
    const auto reply = world.ask(0, session, "WRITE x");
    CHECK(failure_of(reply) == error_kind::outcome_unknown);
    CHECK(world.runs(world.last_request()) == 1);
}

TEST_CASE("a crashed leader is replaced and writes go on within the target", "[gateway]")
{
    // Target: the gap from the loss to the next commit is at most 2 s.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        gateway_world world({.daemons = 3, .seed = seed});
        const std::string before = world.leader();
        world.crash_member(before);
        const auto gap = time_to_next_write(world, 5s);
        REQUIRE(gap);
        CHECK(*gap <= 2s);
        CHECK(world.leader() != before);
        CHECK(world.promotions().size() == 1);
    }
}

TEST_CASE("a silent leader is replaced and writes go on within the target", "[gateway]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        gateway_world world({.daemons = 3, .seed = seed});
        world.darken_member(world.leader());
        const auto gap = time_to_next_write(world, 5s);
        REQUIRE(gap);
        CHECK(*gap <= 2s);
        CHECK(world.promotions().size() == 1);
    }
}

TEST_CASE("a daemon that is cut off from the leader and all others does not replace the leader at once", "[gateway]")
{
    // Guards against a change of primary on the store's side of a partition while most daemons, which the store no
    // longer lists, still reach the leader: what they confirm meanwhile would be rolled back.
    for (std::size_t alone = 0; alone < 5; ++alone) {
        INFO("daemon " << alone);
        gateway_world world({.daemons = 5});
        const std::string leader = world.leader();
        world.cut_member(alone, leader, true);
        world.cut_peers(alone, true);
        for (std::size_t i = 0; i < 5; ++i) {
            world.refuse_store(i, i != alone);
        }
        world.run(7s);
        CHECK(world.promotions().empty());
        world.cut_member(alone, leader, false);
        world.cut_peers(alone, false);
        for (std::size_t i = 0; i < 5; ++i) {
            world.refuse_store(i, false);
        }
        world.run(2s);
        CHECK(world.promotions().empty());
    }
}

TEST_CASE("all of many daemons learn in time that a member leaves", "[gateway]")
{
    // Guards against work for a leaving member after its bound: with many daemons the pause after an earlier change
    // held the news back for longer than the reserve (hunt on kapot-book-grown, handover-during-drain --seed
    // 229696227232).
    gateway_world world({.daemons = 48, .max_connections = 200});
    world.announce_drain("m2");
    world.run(50ms);
    world.announce_drain("m1");
    world.run(1200ms);
    for (std::size_t i = 0; i < 48; ++i) {
        INFO("daemon " << i);
        CHECK(world.sees_leaving(i, "m1"));
    }
}

TEST_CASE("replicas that a daemon paused before it ended receive again", "[gateway]")
{
    // Guards against replicas that stay behind for good: the daemon that paused them for a change of primary ended
    // before it let them go on.
    gateway_world world({.daemons = 3, .sync_replicas = 1});
    world.pause_member("m1");
    world.pause_member("m2");
    REQUIRE(world.paused("m1"));
    world.terminate(0);
    world.terminate(1);
    world.run(8s);
    CHECK_FALSE(world.paused("m1"));
    CHECK_FALSE(world.paused("m2"));
}

TEST_CASE("a lone daemon that keeps missing the leader replaces it within the bound", "[gateway]")
{
    // Guards against a service without a leader for as long as most daemons are gone.
    gateway_world world({.daemons = 5});
    for (std::size_t i = 1; i < 5; ++i) {
        world.refuse_store(i, true);
    }
    world.cut_peers(0, true);
    world.darken_member(world.leader());
    world.run(9s);
    CHECK(world.promotions().size() == 1);
    CHECK_FALSE(world.leader().empty());
}

TEST_CASE("a leader that leaves hands over without losing a commit", "[gateway]")
{
    // Guards against a promotion before the successor has received everything.
    for (const duration lag : {10ms, 150ms, 400ms}) {
        INFO("lag us " << lag.count());
        gateway_world world({.daemons = 2, .replica_lag = lag});
        const session_number session = world.open(0, "own");
        REQUIRE(succeeded(world.ask(0, session, "WRITE x")));
        const log_position written = world.committed();
        const std::string before = world.leader();
        world.announce_drain(before);
        world.run(4s);
        REQUIRE(world.leader() != before);
        CHECK(world.committed()->index >= written->index);
        CHECK(succeeded(world.ask(0, session, "WRITE x")));
    }
}

TEST_CASE("requests that need a leader wait for a change that ends in time", "[gateway]")
{
    gateway_world world({.daemons = 2});
    const session_number session = world.open(0, "fresh");
    world.crash_member(world.leader());
    world.run(30ms);
    const auto reply = world.ask(0, session, "WRITE x", 900ms);
    REQUIRE(reply);
    INFO(((*reply)->failure ? (*(*reply)->failure)->detail : std::string("done")));
    CHECK(succeeded(reply));
}

TEST_CASE("a daemon that the store turns away learns of a new configuration from its peers", "[gateway]")
{
    // Target: in force within 3 s.
    gateway_world world({.daemons = 2});
    world.refuse_store(1, true);
    world.run(500ms);
    world.write_configuration(2, {"fresh", "aged", "own", "added"});
    world.run(3s);
    const session_number session = world.open(1, "added");
    CHECK(std::holds_alternative<session_ready>(world.replies(1, session).front().reply));
}

TEST_CASE("a removed route is refused from the next transaction on", "[gateway]")
{
    gateway_world world({});
    const session_number session = world.open(0, "own");
    REQUIRE(succeeded(world.ask(0, session, "READ x")));
    world.write_configuration(2, {"fresh", "aged"});
    world.run(1s);
    CHECK(failure_of(world.ask(0, session, "READ x")) == error_kind::unknown_database);
}

TEST_CASE("a daemon that is told to end cuts nothing and ends within its grace period", "[gateway]")
{
    // Grace period: 6 s. The open transaction gets its first half.
    gateway_world world({.daemons = 2});
    const session_number idle = world.open(0, "own");
    const session_number busy = world.open(0, "fresh");
    REQUIRE(world.ask(0, busy, "BEGIN"));
    REQUIRE(succeeded(world.ask(0, busy, "WRITE x")));
    world.terminate(0);
    world.run(50ms);
    CHECK_FALSE(world.ready(0));
    CHECK(succeeded(world.ask(0, idle, "READ x"))); // Still served until the balancer has noticed.
    world.run(1s);
    const auto committed = world.ask(0, busy, "COMMIT");
    CHECK(succeeded(committed));
    world.run(4700ms);
    CHECK(world.stopped(0));
    const auto& last = world.replies(0, idle).back().reply;
    REQUIRE(std::holds_alternative<session_close>(last));
    CHECK_FALSE(std::get<session_close>(last)->failure);
}

TEST_CASE("a draining daemon refuses new sessions once the balancer has noticed", "[gateway]")
{
    // Guards against sessions that are accepted and then cut at the end of the process.
    gateway_world world({.daemons = 2});
    const session_number kept = world.open(0, "fresh");
    REQUIRE(world.ask(0, kept, "BEGIN"));
    REQUIRE(succeeded(world.ask(0, kept, "WRITE x")));
    world.terminate(0);
    world.run(2s);
    const session_number late = world.open(0, "own");
    const auto& close = std::get<session_close>(world.replies(0, late).front().reply);
    REQUIRE(close->failure);
    CHECK((*close->failure)->kind == error_kind::leaving);
}

TEST_CASE("the duty of a daemon that ends moves on, so a later change succeeds", "[gateway]")
{
    gateway_world world({.daemons = 3});
    world.terminate(0);
    world.run(6s);
    world.terminate(1);
    world.run(6s);
    world.crash_member(world.leader());
    world.run(2s);
    CHECK_FALSE(world.leader().empty());
    const session_number session = world.open(2, "own");
    CHECK(succeeded(world.ask(2, session, "WRITE x")));
}
