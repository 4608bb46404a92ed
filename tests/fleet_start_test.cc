// What callers and members see when all daemons start at the same time.

#include "support/gateway_simulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

/// A fleet, with the connections that each member accepts.
struct fleet {
    std::size_t daemons = 1;
    std::uint32_t limit = 20;
};

/// Fleets of which only some daemons keep connections to a member.
const std::vector<fleet> large_fleets{{58, 46}, {83, 56}, {295, 131}};

/// For which members count the connections of a daemon that has lost power.
constexpr duration former_connections_time = 3s;

constexpr duration power_loss = 1200ms;

/// Of the routes in the simulation.
constexpr duration target_latency = 250ms;

const std::vector<std::string> members{"m0", "m1", "m2"};

/// Callers that connect as soon as their daemon runs and send one read.
struct early_callers {
    struct caller {
        std::size_t daemon = 0;
        session_number session = 0;
        instant since{};
    };

    explicit early_callers(gateway_simulation& chosen) : simulation(chosen) {}

    /// Lets `count` callers come, spread over all daemons in the order of their starts.
    void come(std::size_t count)
    {
        for (std::size_t i = 0; i < count; ++i) {
            const std::size_t daemon = i * simulation.daemons() / count;
            while (simulation.stopped(daemon)) {
                simulation.run(1ms);
            }
            const instant since = simulation.now();
            callers.push_back({daemon, simulation.open(daemon, "aged"), since});
            simulation.send(daemon, callers.back().session, "READ x");
        }
    }

    /// Callers whose read was answered within `limit` of their connection.
    [[nodiscard]] std::size_t served_within(duration limit)
    {
        return static_cast<std::size_t>(std::count_if(callers.begin(), callers.end(), [&](const caller& each) {
            const auto& replies = simulation.replies(each.daemon, each.session);
            return std::any_of(replies.begin(), replies.end(), [&](const auto& reply) {
                const auto* answer = std::get_if<statement_reply>(&reply.reply);
                return answer != nullptr && !(*answer)->failure && reply.at - each.since <= limit;
            });
        }));
    }

    gateway_simulation& simulation;
    std::vector<caller> callers;
};

/// Lets the daemons of a fleet lose power while each member has `former` connections of others, which it keeps counting
/// for as long as those of the daemons.
void lose_power_beside(gateway_simulation& simulation, std::size_t former)
{
    for (const std::string& id : members) {
        simulation.occupy_connections(id, former);
    }
    simulation.lose_all_power(power_loss);
}

} // namespace

TEST_CASE("daemons that all start at once open no connection beyond the limit of a member", "[fleet_start]")
{
    // Guards against hundreds of refused connections after a loss of all power: daemons that are not assigned to a
    // service connected to all its members because they were not connected to each other yet, and all daemons together
    // exceed the limit.
    for (const fleet& each : large_fleets) {
        INFO("daemons " << each.daemons);
        gateway_simulation simulation({.daemons = each.daemons, .max_connections = each.limit});
        simulation.run(1s);
        const std::size_t before = simulation.refused_connections();
        lose_power_beside(simulation, each.limit * 45 / 100);
        simulation.run(5s);
        CHECK(simulation.refused_connections() == before);
    }
}

TEST_CASE("callers who come while all daemons start are served if there is room", "[fleet_start]")
{
    // Guards against refusals, and waits beyond a caller's patience, in the first second after a loss of all power.
    for (const fleet& each : large_fleets) {
        INFO("daemons " << each.daemons);
        gateway_simulation simulation({.daemons = each.daemons, .max_connections = each.limit});
        simulation.run(1s);
        lose_power_beside(simulation, each.limit * 45 / 100);
        early_callers callers(simulation);
        callers.come(20);
        simulation.run(2s);
        CHECK(callers.served_within(target_latency) == 20);
    }
}

TEST_CASE("members that have no room at a start are asked rarely and used as soon as they have", "[fleet_start]")
{
    // Guards against attempts in quick succession while a member counts the connections of the former run, and against
    // a wait after it has dropped them. Two attempts a second are enough for callers, who wait longer than that.
    for (const fleet& each : large_fleets) {
        INFO("daemons " << each.daemons);
        gateway_simulation simulation({.daemons = each.daemons, .max_connections = each.limit});
        simulation.run(1s);
        const std::size_t assigned = each.limit * 45 / 100 / 3;
        const std::size_t before = simulation.refused_connections();
        lose_power_beside(simulation, each.limit);
        simulation.run(former_connections_time);
        const duration starting = former_connections_time - power_loss;
        const std::size_t attempts = static_cast<std::size_t>(starting / 500ms) + 1;
        CHECK(simulation.refused_connections() - before <= assigned * members.size() * attempts);
        for (const std::string& id : members) {
            simulation.occupy_connections(id, 0);
        }
        simulation.run(500ms);
        early_callers callers(simulation);
        callers.come(20);
        simulation.run(1s);
        CHECK(callers.served_within(target_latency) == 20);
    }
}

TEST_CASE("small fleets serve their first callers at once", "[fleet_start]")
{
    // Guards against a start that waits for other daemons although there are none, or although each of them has room
    // for connections of its own.
    for (const fleet& each : {fleet{1, 20}, fleet{6, 20}, fleet{7, 34}}) {
        INFO("daemons " << each.daemons);
        gateway_simulation simulation({.daemons = each.daemons, .max_connections = each.limit});
        simulation.run(1s);
        simulation.lose_all_power(power_loss);
        early_callers callers(simulation);
        callers.come(each.daemons);
        simulation.run(1s);
        CHECK(callers.served_within(target_latency) == each.daemons);
    }
}
