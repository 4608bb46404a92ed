#include "support/gateway_simulation.h"
#include "support/write_load.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

/// A change of primary must be over within this time.
constexpr duration change_limit = 9s;

/// Time until a member leads the service; nothing if none does within the limit.
std::optional<duration> time_to_leader(gateway_simulation& simulation, write_load& load)
{
    const instant start = simulation.now();
    while (simulation.now() - start < change_limit) {
        if (!simulation.leader().empty()) {
            return simulation.now() - start;
        }
        load.run(10ms);
    }
    return std::nullopt;
}

/// Loses a member for good: its process ends, and its entry leaves the store after three check-in intervals.
void lose_member(gateway_simulation& simulation, write_load& load, const std::string& id)
{
    simulation.crash_member(id);
    load.run(3600ms);
    simulation.remove_entry(id);
}

} // namespace

TEST_CASE("a lost primary is replaced while a replica drains", "[positions]")
{
    // Guards against counting draining replicas among those whose positions are required without asking them: the
    // service stays without a primary until the draining one has ended (review/9).
    for (const bool restarted : {false, true}) {
        INFO("all daemons restart after the loss: " << restarted);
        gateway_simulation simulation({.daemons = 3, .members = 4, .sync_replicas = 1});
        write_load load(simulation, 6);
        load.run(2s);
        const std::string primary = simulation.leader();
        simulation.announce_drain("m2");
        load.run(500ms);
        simulation.crash_member(primary);
        if (restarted) {
            load.run(500ms);
            simulation.restart_all_daemons();
            load.run(2600ms);
        } else {
            load.run(3600ms);
        }
        simulation.remove_entry(primary);
        CHECK(time_to_leader(simulation, load));
        load.run(4s);
        CHECK(simulation.leader() != "m2");
        CHECK(load.lost().empty());
        CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
    }
}

TEST_CASE("a draining replica that alone received the last commits is promoted", "[positions]")
{
    // Guards against leaving out the member that holds what others lack, and against promoting another one.
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    load.run(2s);
    const std::string primary = simulation.leader();
    REQUIRE(primary == "m0");
    simulation.pause_member("m1");
    simulation.announce_drain("m2");
    load.run(1s);
    lose_member(simulation, load, primary);
    CHECK(time_to_leader(simulation, load));
    load.run(4s);
    CHECK(load.lost().empty());
    CHECK(simulation.leader() == "m1"); // The draining member has handed over.
    CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
}

TEST_CASE("the only candidate is ordered again after the platform rejected it", "[positions]")
{
    // Guards against leaving a rejected candidate out until the change ends, which it then never does.
    gateway_simulation simulation({.daemons = 3, .members = 2});
    write_load load(simulation, 6);
    load.run(2s);
    simulation.reject_promotions(1);
    simulation.crash_member(simulation.leader());
    CHECK(time_to_leader(simulation, load));
    load.run(2s);
    CHECK(load.acknowledged_since(simulation.now() - 1s) > 50);
}

TEST_CASE("a replica that lacks acknowledged commits is not promoted in place of a rejected one", "[positions]")
{
    // Guards against turning to a less advanced replica after a rejection although commits must not be lost.
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    load.run(2s);
    simulation.pause_member("m1");
    load.run(1s);
    simulation.reject_promotions(1);
    lose_member(simulation, load, simulation.leader());
    CHECK(time_to_leader(simulation, load));
    load.run(3s);
    CHECK(load.lost().empty());
    CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
}

TEST_CASE("daemons that never knew the primary replace it while its entry is still listed", "[positions]")
{
    // Guards against counting the unreachable primary among the replicas whose positions are required.
    gateway_simulation simulation({.daemons = 3, .sync_replicas = 1});
    write_load load(simulation, 6);
    load.run(2s);
    simulation.announce_primary(simulation.leader());
    simulation.silence_member(simulation.leader());
    load.run(500ms);
    simulation.restart_all_daemons();
    CHECK(time_to_leader(simulation, load));
    load.run(3s);
    CHECK(load.lost().empty());
    CHECK(load.acknowledged_since(simulation.now() - 2s) > 100);
}

TEST_CASE("a holder whose token was rejected takes the lock again once the store lets it", "[positions]")
{
    // Guards against a lock that is held and cannot be used for good: its token was rejected twice, and the attempt to
    // raise it failed.
    gateway_simulation simulation({.daemons = 3});
    write_load load(simulation, 6);
    load.run(2s);
    REQUIRE(simulation.lock_holder());
    const std::size_t holder = *simulation.lock_holder();
    simulation.reject_promotions(2);
    simulation.refuse_store(holder, true);
    simulation.crash_member(simulation.leader());
    load.run(1s);
    simulation.refuse_store(holder, false);
    CHECK(time_to_leader(simulation, load));
    load.run(2s);
    CHECK(load.acknowledged_since(simulation.now() - 1s) > 50);
}
