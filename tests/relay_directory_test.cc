#include "relay/assigned_daemons.h"
#include "relay/relay_directory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

using namespace citronfall;

namespace {

constexpr std::uint32_t few_connections = 46; ///< Too few for one connection from each of many daemons.

/// A fleet of 40 daemons, seen by one that is not assigned to the service "ledger".
struct relaying_daemon {
    relaying_daemon()
    {
        for (int i = 0; i < 40; ++i) {
            all.push_back("frontend-" + std::to_string(i));
        }
        assigned = assigned_daemons("ledger", all, few_connections);
        const auto relaying = std::find_if(all.begin(), all.end(), [this](const std::string& each) {
            return std::find(assigned.begin(), assigned.end(), each) == assigned.end();
        });
        self = *relaying;
        directory.emplace(self);
        configure(all);
    }

    void configure(const std::vector<std::string>& daemons)
    {
        std::set<std::string> others(daemons.begin(), daemons.end());
        others.erase(self);
        directory->configure({{"ledger", few_connections}}, others);
    }

    std::vector<std::string> all;
    std::vector<std::string> assigned;
    std::string self;
    std::optional<relay_directory> directory;
};

} // namespace

TEST_CASE("statements are relayed to the first connected daemons in the order of this daemon", "[relay_directory]")
{
    relaying_daemon fleet;
    const auto preferred = preferred_relay_targets(fleet.self, fleet.assigned);
    CHECK_FALSE(fleet.directory->is_assigned("ledger"));
    CHECK(fleet.directory->targets("ledger").empty());
    CHECK_FALSE(fleet.directory->relays_somewhere());
    for (const std::string& each : {preferred[2], preferred[0], preferred[3]}) {
        fleet.directory->connected(each);
    }
    CHECK(fleet.directory->targets("ledger") == std::vector<std::string>{preferred[0], preferred[2]});
    CHECK(fleet.directory->connected_to("ledger").size() == 3);
    CHECK(fleet.directory->relays_somewhere());
    fleet.directory->disconnected(preferred[0]);
    CHECK(fleet.directory->targets("ledger") == std::vector<std::string>{preferred[2], preferred[3]});
}

TEST_CASE("a daemon that shuts down gets statements only while no other is connected", "[relay_directory]")
{
    relaying_daemon fleet;
    const auto preferred = preferred_relay_targets(fleet.self, fleet.assigned);
    CHECK(fleet.directory->pinned() == std::set<std::string>{preferred[0], preferred[1]});
    fleet.directory->connected(preferred[0]);
    fleet.directory->leaves(preferred[0]);
    CHECK(fleet.directory->targets("ledger") == std::vector<std::string>{preferred[0]});
    CHECK(fleet.directory->pinned() == std::set<std::string>{preferred[1], preferred[2]});
    fleet.directory->connected(preferred[1]);
    CHECK(fleet.directory->targets("ledger") == std::vector<std::string>{preferred[1]});
    // Its next run does not shut down.
    fleet.directory->disconnected(preferred[0]);
    fleet.directory->connected(preferred[0]);
    CHECK(fleet.directory->targets("ledger") == std::vector<std::string>{preferred[0], preferred[1]});
}

TEST_CASE("assignments follow the registered daemons", "[relay_directory]")
{
    relaying_daemon fleet;
    std::vector<std::string> fewer = fleet.all;
    std::erase(fewer, fleet.assigned.front());
    fleet.configure(fewer);
    CHECK(fleet.directory->assigned("ledger") == assigned_daemons("ledger", fewer, few_connections));
    CHECK(fleet.directory->own_position("ledger") == std::nullopt);
    // Two daemons can each keep connections, so both are assigned.
    fleet.configure({fleet.all.front()});
    CHECK(fleet.directory->is_assigned("ledger"));
    CHECK(fleet.directory->own_position("ledger"));
}

TEST_CASE("nothing is known of a service that is not in use", "[relay_directory]")
{
    const relaying_daemon fleet;
    CHECK(fleet.directory->is_assigned("other"));
    CHECK(fleet.directory->own_position("other") == std::nullopt);
    CHECK(fleet.directory->assigned("other").empty());
}
