#include "relay/assigned_daemons.h"
#include "relay/relay_directory.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t few_connections = 46; ///< Too few for one connection from each of many daemons.
const instant start{1000s};

relay_candidate daemon_named(const std::string& name)
{
    return relay_candidate{{.name = name, .data_center = "dc"}};
}

/// A fleet of 40 daemons, seen by one that is not assigned to the service "ledger".
struct relaying_daemon {
    relaying_daemon()
    {
        for (int i = 0; i < 40; ++i) {
            all.push_back(daemon_named("frontend-" + std::to_string(i)));
        }
        const auto assigned = assigned_daemons({{"ledger", few_connections}}, all).at("ledger");
        self = *std::find_if(all.begin(), all.end(), [&](const relay_candidate& each) {
            return std::find(assigned.begin(), assigned.end(), each->name) == assigned.end();
        });
        preferred = make_service_assignments({{"ledger", few_connections}}, all, self).at("ledger")->targets;
        directory.emplace(self);
        configure(all);
    }

    void configure(std::vector<relay_candidate> daemons)
    {
        std::erase(daemons, self);
        directory->configure({{"ledger", few_connections}}, daemons, start);
    }

    [[nodiscard]] std::set<std::string> pinned() const
    {
        std::set<std::string> names;
        for (const auto& [name, since] : directory->pinned()) {
            names.insert(name);
        }
        return names;
    }

    std::vector<relay_candidate> all;
    std::vector<std::string> preferred; ///< Assigned daemons in the order in which this one relays to them.
    relay_candidate self;
    std::optional<relay_directory> directory;
};

} // namespace

TEST_CASE("statements are relayed to the first connected daemons in the order of this daemon", "[relay_directory]")
{
    relaying_daemon fleet;
    const auto& preferred = fleet.preferred;
    CHECK_FALSE(fleet.directory->is_assigned("ledger"));
    CHECK(fleet.directory->targets("ledger").empty());
    CHECK_FALSE(fleet.directory->relays_somewhere());
    for (const std::string& each : {preferred[2], preferred[0], preferred[3]}) {
        fleet.directory->connected(each, start);
    }
    CHECK(fleet.directory->targets("ledger") == std::vector<std::string>{preferred[0], preferred[2]});
    CHECK(fleet.directory->connected_to("ledger").size() == 3);
    CHECK(fleet.directory->relays_somewhere());
    fleet.directory->disconnected(preferred[0], start);
    CHECK(fleet.directory->targets("ledger") == std::vector<std::string>{preferred[2], preferred[3]});
}

TEST_CASE("a daemon that shuts down gets statements only while no other is connected", "[relay_directory]")
{
    relaying_daemon fleet;
    const auto& preferred = fleet.preferred;
    CHECK(fleet.pinned() == std::set<std::string>{preferred[0], preferred[1]});
    fleet.directory->connected(preferred[0], start);
    fleet.directory->leaves(preferred[0], start);
    CHECK(fleet.directory->targets("ledger") == std::vector<std::string>{preferred[0]});
    CHECK(fleet.pinned() == std::set<std::string>{preferred[1], preferred[2]});
    fleet.directory->connected(preferred[1], start);
    CHECK(fleet.directory->targets("ledger") == std::vector<std::string>{preferred[1]});
    // Its next run does not shut down.
    fleet.directory->disconnected(preferred[0], start);
    fleet.directory->connected(preferred[0], start);
    CHECK(fleet.directory->targets("ledger") == std::vector<std::string>{preferred[0], preferred[1]});
}

TEST_CASE("other daemons take the place of those that are lost, long before their registrations end",
          "[relay_directory]")
{
    // Guards against daemons that open connections of their own, or refuse statements, because both daemons that they
    // relay to are gone: after the loss of half of the fleet that holds for a quarter of it.
    relaying_daemon fleet;
    const auto& preferred = fleet.preferred;
    fleet.directory->connected(preferred[0], start);
    fleet.directory->connected(preferred[1], start);
    fleet.directory->disconnected(preferred[0], start);
    fleet.directory->disconnected(preferred[1], start);
    CHECK(fleet.pinned() == std::set<std::string>{preferred[2], preferred[3]});
    // One of these cannot be reached either.
    fleet.directory->connected(preferred[3], start + 10ms);
    CHECK_FALSE(fleet.directory->replace_unreachable(start + 400ms));
    CHECK(fleet.directory->replace_unreachable(start + 600ms));
    CHECK(fleet.pinned() == std::set<std::string>{preferred[3], preferred[4]});
    // The lost ones are tried again, and used once they are back.
    CHECK(fleet.directory->replace_unreachable(start + 5s));
    CHECK(fleet.pinned() == std::set<std::string>{preferred[0], preferred[1]});
    fleet.directory->connected(preferred[0], start + 5s);
    CHECK(fleet.directory->targets("ledger") == std::vector<std::string>{preferred[0], preferred[3]});
}

TEST_CASE("assignments follow the registered daemons", "[relay_directory]")
{
    relaying_daemon fleet;
    std::vector<relay_candidate> fewer = fleet.all;
    std::erase(fewer, daemon_named(fleet.preferred.front()));
    fleet.configure(fewer);
    CHECK(fleet.directory->assigned("ledger") == assigned_daemons({{"ledger", few_connections}}, fewer).at("ledger"));
    // Two daemons can each keep connections, so both are assigned.
    fleet.configure({fleet.all[0], fleet.all[1]});
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
