// What one daemon does by the number of daemons in the fleet.

#include "support/single_gateway.h"

#include <catch2/catch.hpp>

using namespace citronfall;
using namespace std::chrono_literals;

TEST_CASE("a daemon at rest wakes as rarely in a large fleet as in a small one", "[fleet_size]")
{
    // Guards against work on a fixed short interval, which costs an idle daemon of a large fleet most of its time.
    for (const std::size_t daemons : {30, 300, 1000}) {
        INFO("daemons " << daemons);
        single_gateway gateway({.daemons = daemons});
        const std::size_t before = gateway.ticks();
        gateway.run(20s);
        CHECK(gateway.ticks() - before <= 20 * 20);
    }
}

TEST_CASE("statements are answered directly and by relay whatever the size of the fleet", "[fleet_size]")
{
    for (const std::size_t daemons : {30, 300, 1000}) {
        INFO("daemons " << daemons);
        single_gateway gateway({.daemons = daemons});
        gateway.run_own_statements(200, 10ms);
        gateway.run_relayed_statements(200, 10ms);
        gateway.run(1s);
        CHECK(gateway.answers() == 400);
        CHECK(gateway.failures() == 0);
        CHECK((gateway.relayed() > 0) == (daemons > 59)); // 59 daemons can each keep a connection to a member.
    }
}
