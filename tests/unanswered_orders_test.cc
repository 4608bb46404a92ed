#include "support/gateway_simulation.h"
#include "support/write_load.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

/// Orders without an answer are carried out up to this long after they were sent.
constexpr duration late = 9s;

/// Advances until the holder of the failover lock has ordered a promotion; whether it did so within 4 s.
bool run_until_promotion_ordered(gateway_simulation& simulation, write_load& load, std::size_t holder)
{
    const std::size_t before = simulation.logged(holder, "promotion_ordered").size();
    for (const instant end = simulation.now() + 4s; simulation.now() < end;) {
        load.run(5ms);
        if (simulation.logged(holder, "promotion_ordered").size() > before) {
            return true;
        }
    }
    return false;
}

std::vector<std::string> replicas(const gateway_simulation& simulation)
{
    std::vector<std::string> others;
    for (const std::string id : {"m0", "m1", "m2"}) {
        if (id != simulation.leader()) {
            others.push_back(id);
        }
    }
    return others;
}

} // namespace

TEST_CASE("a promotion that is carried out late drops no acknowledged commit", "[orders]")
{
    // Guards against acknowledging commits while a promotion without an answer may still take effect: the primary
    // comes back during the change, and the promotion is carried out seconds later (review/6).
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    load.run(2s);
    const std::string primary = simulation.leader();
    simulation.delay_promotions(late);
    simulation.delay_orders(replicas(simulation).front(), 1, 7s);
    simulation.silence_member(primary);
    load.run(2500ms);
    simulation.heal_member(primary);
    load.run(3s);
    simulation.delay_promotions(std::nullopt);
    load.run(9s);
    CHECK(load.lost().empty());
    CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
}

TEST_CASE("a promotion that a daemon ordered before it ended drops no acknowledged commit", "[orders]")
{
    // Guards against the next holder of the lock trusting that no order of an earlier holder is outstanding.
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    load.run(4s);
    const std::string primary = simulation.leader();
    simulation.delay_promotions(13s);
    simulation.delay_orders(replicas(simulation).front(), 1, 11s);
    simulation.silence_member(primary);
    REQUIRE(simulation.lock_holder());
    const std::size_t holder = *simulation.lock_holder();
    REQUIRE(run_until_promotion_ordered(simulation, load, holder));
    simulation.kill(holder);
    simulation.delay_promotions(std::nullopt);
    simulation.heal_member(primary);
    load.run(20s);
    CHECK(load.lost().empty());
    CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
}

TEST_CASE("a primary that returns before its successor leads acknowledges nothing that is dropped", "[orders]")
{
    // Guards against resuming replication while an accepted promotion has not taken effect yet.
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    load.run(2s);
    const std::string primary = simulation.leader();
    simulation.silence_member(primary);
    REQUIRE(simulation.lock_holder());
    const std::vector<std::string> others = replicas(simulation);
    REQUIRE(run_until_promotion_ordered(simulation, load, *simulation.lock_holder()));
    load.run(10ms); // The order arrives.
    REQUIRE_FALSE(simulation.promotions().empty());
    for (const std::string& replica : others) {
        if (simulation.promotions().back() == replica) {
            simulation.delay_orders(replica, 10, 2s); // It stays paused, and does not receive what the other one does.
        }
    }
    simulation.heal_member(primary);
    load.run(1s);
    for (const std::string& replica : others) {
        simulation.delay_orders(replica, 0, {});
    }
    load.run(5s);
    CHECK(load.lost().empty());
    CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
}

TEST_CASE("an order of an earlier change of primary does not undo a later one", "[orders]")
{
    // Guards against the token of a finished change, whose first order had no answer, being used for the next change:
    // the old order would be accepted after it.
    for (const std::uint32_t sync : {1U, 0U}) {
        INFO("replicas that receive a commit before it is acknowledged: " << sync);
        gateway_simulation simulation({.daemons = 3, .sync_replicas = sync});
        write_load load(simulation, 6);
        load.run(2s);
        const std::string first = simulation.leader();
        simulation.delay_promotions(late);
        simulation.silence_member(first);
        REQUIRE(simulation.lock_holder());
        REQUIRE(run_until_promotion_ordered(simulation, load, *simulation.lock_holder()));
        simulation.delay_promotions(std::nullopt);
        load.run(2s);
        const std::string second = simulation.leader();
        REQUIRE(second != first);
        REQUIRE_FALSE(second.empty());
        simulation.heal_member(first);
        load.run(1s);
        simulation.announce_drain(second);
        load.run(3s);
        const std::string third = simulation.leader();
        REQUIRE(third != second);
        for (const instant end = simulation.now() + 8s; simulation.now() < end;) {
            load.run(5ms);
            REQUIRE(simulation.leader() == third);
        }
        if (sync > 0) { // Otherwise the first primary may have acknowledged what no replica had received.
            CHECK(load.lost().empty());
        }
        CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
    }
}

TEST_CASE("a promotion that is carried out late does not replace a primary that has returned", "[orders]")
{
    // Guards against a needless change of primary, which drops what the successor has not received yet.
    gateway_simulation simulation({.daemons = 3});
    write_load load(simulation, 6);
    load.run(2s);
    const std::string primary = simulation.leader();
    simulation.delay_promotions(late);
    simulation.silence_member(primary);
    REQUIRE(simulation.lock_holder());
    REQUIRE(run_until_promotion_ordered(simulation, load, *simulation.lock_holder()));
    simulation.heal_member(primary);
    load.run(2s);
    simulation.delay_promotions(std::nullopt);
    load.run(10s);
    CHECK(simulation.leader() == primary);
    CHECK(load.lost().empty());
}

TEST_CASE("replicas whose pause is carried out late resume replication", "[orders]")
{
    // Guards against trusting one answer to a resume request for ever: a pause that had no answer is carried out after
    // it and stops the acknowledgement of writes for good.
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    load.run(4s);
    const std::string primary = simulation.leader();
    const std::vector<std::string> others = replicas(simulation);
    for (const std::string& replica : others) {
        simulation.delay_orders(replica, 1000, 7s);
    }
    simulation.silence_member(primary);
    load.run(2500ms);
    simulation.heal_member(primary);
    REQUIRE(simulation.lock_holder());
    const std::size_t holder = *simulation.lock_holder();
    REQUIRE_FALSE(simulation.logged(holder, "primary_change").empty());
    for (int i = 0;
         i < 500 && simulation.logged(holder, "primary_change").back().find("to=watching") == std::string::npos; ++i) {
        simulation.run(1ms);
    }
    for (const std::string& replica : others) {
        simulation.delay_orders(replica, 0, {});
    }
    load.run(20s);
    CHECK(load.lost().empty());
    CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
    for (const std::string& replica : others) {
        CHECK_FALSE(simulation.paused(replica));
    }
}

TEST_CASE("a pause with a term that is not newer does not count as one", "[orders]")
{
    // Guards against promoting a replica whose position may already be old: a daemon that knows no term yet pauses
    // replicas with a term that has no effect.
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    load.run(2s);
    const std::string primary = simulation.leader();
    const std::vector<std::string> others = replicas(simulation);
    simulation.silence_member(primary);
    simulation.restart_all_daemons();
    simulation.remove_entry(primary);
    bool ordered = false;
    for (const instant end = simulation.now() + 9s; simulation.now() < end && !ordered;) {
        simulation.run(1ms);
        for (std::size_t i = 0; i < simulation.daemons(); ++i) {
            const std::vector<std::string> changes = simulation.logged(i, "primary_change");
            ordered = ordered || (!changes.empty() && changes.back().find("to=promoting") != std::string::npos);
        }
    }
    REQUIRE(ordered);
    for (const std::string& replica : others) {
        CHECK(simulation.paused(replica));
    }
}

TEST_CASE("replicas whose pause was ordered by a daemon that has ended resume replication", "[orders]")
{
    // Guards against a holder of the lock that never looks at replicas again: the pause of an earlier holder is carried
    // out after it has resumed them.
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    load.run(4s);
    for (const std::string& replica : replicas(simulation)) {
        simulation.pause_member(replica);
    }
    load.run(6s);
    for (const std::string& replica : replicas(simulation)) {
        CHECK_FALSE(simulation.paused(replica));
    }
    CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
}

TEST_CASE("a replica that may receive in spite of its pause is promoted if it has the whole log", "[orders]")
{
    // Guards against promoting another one: a request to resume without an answer may be carried out during the change,
    // and what that replica lets the former primary acknowledge would be lost.
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    simulation.delay_orders("m2", 1, 8s);
    load.run(6s);
    REQUIRE(simulation.leader() == "m0");
    simulation.silence_member("m0");
    REQUIRE(simulation.lock_holder());
    const std::size_t holder = *simulation.lock_holder();
    REQUIRE(run_until_promotion_ordered(simulation, load, holder));
    CHECK(simulation.logged(holder, "promotion_ordered").back().find("member=m2 ") != std::string::npos);
}

TEST_CASE("a hand-over waits until an earlier order for the leaving primary is void", "[orders]")
{
    // Guards against handing over with the token of an order without an answer, which would make the former primary
    // lead again after its successor: the token cannot be raised while the store turns the holder away.
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    load.run(6s);
    simulation.delay_promotions(5s);
    const std::string first = simulation.leader();
    simulation.silence_member(first);
    REQUIRE(simulation.lock_holder());
    const std::size_t holder = *simulation.lock_holder();
    REQUIRE(run_until_promotion_ordered(simulation, load, holder));
    simulation.delay_promotions(std::nullopt);
    simulation.refuse_store(holder, true);
    load.run(1500ms);
    const std::string second = simulation.leader();
    REQUIRE_FALSE(second.empty());
    REQUIRE(second != first);
    simulation.heal_member(first);
    simulation.announce_drain(second);
    bool handed_over = false;
    for (const instant end = simulation.now() + 12s; simulation.now() < end;) {
        load.run(5ms);
        handed_over = handed_over || (!simulation.leader().empty() && simulation.leader() != second);
        REQUIRE_FALSE((handed_over && simulation.leader() == second));
    }
    CHECK(handed_over);
    CHECK(load.lost().empty());
    CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
}

TEST_CASE("a primary that steps down late is replaced", "[orders]")
{
    // Guards against a service without a primary after a request to step down, which had no answer, is carried out: the
    // member is sound and reachable, so nobody takes it for lost.
    for (const std::uint32_t sync : {0U, 1U}) {
        INFO("replicas that receive a commit before it is acknowledged: " << sync);
        gateway_simulation simulation({.daemons = 3, .sync_replicas = sync});
        write_load load(simulation, 6);
        load.run(6s);
        const std::string primary = simulation.leader();
        simulation.delay_orders(primary, 1000, 4s);
        simulation.announce_drain(primary);
        load.run(1500ms);
        simulation.announce_ready(primary);
        load.run(500ms);
        simulation.delay_orders(primary, 0, {});
        REQUIRE(simulation.leader() == primary);
        load.run(12s);
        CHECK(load.lost().empty());
        CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
    }
}

TEST_CASE("writes are served in time after all daemons were killed during a change of primary", "[orders]")
{
    // Guards against replicas that stay paused for longer than a recovery may take: the daemons that start know nothing
    // of the promotion that was ordered, and the former primary is back.
    constexpr duration recovery_limit = 12s;
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    load.run(6s);
    const std::string primary = simulation.leader();
    simulation.delay_promotions(late);
    simulation.silence_member(primary);
    REQUIRE(simulation.lock_holder());
    REQUIRE(run_until_promotion_ordered(simulation, load, *simulation.lock_holder()));
    simulation.delay_promotions(std::nullopt);
    simulation.heal_member(primary);
    simulation.restart_all_daemons();
    load.run(recovery_limit);
    const instant recovered = simulation.now();
    load.run(2s);
    CHECK(load.acknowledged_since(recovered) > 100);
    CHECK(load.lost().empty());
}

TEST_CASE("a primary that returns while a promotion is open has its writes acknowledged", "[orders]")
{
    // Guards against seconds without writes: the ordered member may receive, because it leads with what it has
    // received.
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    load.run(6s);
    const std::string primary = simulation.leader();
    simulation.delay_promotions(late);
    simulation.silence_member(primary);
    REQUIRE(simulation.lock_holder());
    REQUIRE(run_until_promotion_ordered(simulation, load, *simulation.lock_holder()));
    simulation.heal_member(primary);
    load.run(2s);
    const instant open = simulation.now();
    load.run(3s);
    REQUIRE(simulation.leader() == primary);
    CHECK(load.acknowledged_since(open) > 100);
    simulation.delay_promotions(std::nullopt);
    load.run(12s);
    CHECK(load.lost().empty());
    CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
}

TEST_CASE("a promotion that takes effect just before another one drops no acknowledged commit", "[orders]")
{
    // Guards against two members that lead one after the other within the time that a promotion takes: an order of an
    // earlier holder of the lock is carried out just before this holder's for another member, and what is acknowledged
    // in between is lost (seen by the soak with --sync-replicas 1 --late-orders --seconds 20, seed 38).
    for (duration lateness = 1000ms; lateness < 4000ms; lateness += 100ms) {
        INFO("carried out after us " << lateness.count());
        gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
        write_load load(simulation, 6);
        load.run(6s);
        simulation.delay_promotions(lateness);
        simulation.silence_member(simulation.leader());
        REQUIRE(simulation.lock_holder());
        const std::size_t holder = *simulation.lock_holder();
        REQUIRE(run_until_promotion_ordered(simulation, load, holder));
        simulation.kill(holder);
        simulation.delay_promotions(std::nullopt);
        simulation.announce_drain("m1"); // The next holder prefers the other replica.
        load.run(8s);
        CHECK(load.lost().empty());
    }
}
