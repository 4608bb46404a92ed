#include "mirror/store_replica.h"
#include "mirror/watcher_choice.h"
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

/// Time in which a configuration has to take effect on every daemon of a fleet of many.
constexpr duration config_apply_bound = 5s;

std::vector<watcher_candidate> fleet(std::size_t daemons, std::size_t data_centers)
{
    std::vector<watcher_candidate> all;
    for (std::size_t i = 0; i < daemons; ++i) {
        all.push_back(watcher_candidate{
            {.name = "d" + std::to_string(i), .data_center = "dc" + std::to_string(i % data_centers)}});
    }
    return all;
}

/// Indexes of the daemons that watch the store in a simulated fleet, all of which are in one data centre.
std::vector<std::size_t> watcher_indexes(std::size_t daemons)
{
    std::vector<watcher_candidate> all;
    for (std::size_t i = 0; i < daemons; ++i) {
        all.push_back(watcher_candidate{{.name = "d" + std::to_string(i), .data_center = "dc"}});
    }
    std::vector<std::size_t> indexes;
    for (const std::string& each : choose_watchers(all)) {
        indexes.push_back(std::stoul(each.substr(1)));
    }
    return indexes;
}

/// Whether all running daemons have a version of the configuration in force within a time.
bool in_force_within(gateway_simulation& simulation, std::uint64_t version, duration limit)
{
    const instant end = simulation.now() + limit;
    const auto all_have = [&] {
        for (std::size_t i = 0; i < simulation.daemons(); ++i) {
            if (!simulation.stopped(i) && simulation.configuration_version(i) != version) {
                return false;
            }
        }
        return true;
    };
    while (simulation.now() < end && !all_have()) {
        simulation.run(50ms);
    }
    return all_have();
}

} // namespace

TEST_CASE("all daemons of a small fleet watch the store, and a few of each data centre of a large one", "[replica]")
{
    CHECK(choose_watchers(fleet(7, 3)).empty());
    for (const auto& [daemons, data_centers] :
         {std::pair(23U, 5U), std::pair(91U, 3U), std::pair(295U, 5U), std::pair(7700U, 15U)}) {
        INFO(daemons << " daemons in " << data_centers << " data centres");
        const auto all = fleet(daemons, data_centers);
        const auto watchers = choose_watchers(all);
        CHECK(watchers.size() >= 4);
        CHECK(watchers.size() <= std::max(4U + data_centers, daemons / 20));
        std::map<std::string, std::size_t> by_data_center;
        for (const watcher_candidate& each : all) {
            by_data_center[each->data_center] += watchers.contains(each->name) ? 1 : 0;
        }
        CHECK(std::all_of(by_data_center.begin(), by_data_center.end(),
                          [](const auto& each) { return each.second > 0; }));
    }
}

TEST_CASE("daemons follow two watchers each, spread over all of them", "[replica]")
{
    const auto all = fleet(295, 5);
    const auto chosen = choose_watchers(all);
    std::vector<watcher_candidate> watchers;
    std::copy_if(all.begin(), all.end(), std::back_inserter(watchers),
                 [&](const watcher_candidate& each) { return chosen.contains(each->name); });
    std::map<std::string, std::size_t> followers;
    for (const watcher_candidate& each : all) {
        const auto followed = followed_watchers(watchers, each);
        CHECK(followed.size() >= 2);
        CHECK_FALSE(followed.contains(each->name));
        for (const std::string& watcher : followed) {
            ++followers[watcher];
        }
    }
    const double mean = 2.0 * 295 / static_cast<double>(chosen.size());
    for (const auto& [watcher, count] : followers) {
        INFO(watcher);
        CHECK(static_cast<double>(count) <= 1.5 * mean);
    }
}

TEST_CASE("the loss of a watcher changes no other", "[replica]")
{
    auto all = fleet(91, 3);
    const auto before = choose_watchers(all);
    std::erase_if(all, [&](const watcher_candidate& each) { return each->name == *before.begin(); });
    const auto after = choose_watchers(all);
    std::set<std::string> kept;
    std::set_intersection(before.begin(), before.end(), after.begin(), after.end(), std::inserter(kept, kept.end()));
    CHECK(kept.size() == before.size() - 1);
    CHECK(after.size() == before.size());
}

TEST_CASE("a new configuration is in force on daemons that do not watch the store", "[replica]")
{
    gateway_simulation simulation({.daemons = 40});
    simulation.write_configuration(2, {"own"});
    CHECK(in_force_within(simulation, 2, 1500ms));
}

TEST_CASE("a new configuration is in force in time if all watchers end just before it", "[replica]")
{
    gateway_simulation simulation({.daemons = 40});
    for (const std::size_t each : watcher_indexes(40)) {
        simulation.kill(each);
    }
    simulation.run(10ms);
    simulation.write_configuration(2, {"own"});
    CHECK(in_force_within(simulation, 2, config_apply_bound));
}

TEST_CASE("a new configuration is in force in time if the store refuses all watchers", "[replica]")
{
    gateway_simulation simulation({.daemons = 40});
    for (const std::size_t each : watcher_indexes(40)) {
        simulation.refuse_store(each, true);
    }
    simulation.write_configuration(2, {"own"});
    CHECK(in_force_within(simulation, 2, config_apply_bound));
}

TEST_CASE("a new configuration is in force in time if the other daemons lose all watchers and each other", "[replica]")
{
    gateway_simulation simulation({.daemons = 12});
    for (std::size_t i = 0; i < 12; ++i) {
        simulation.cut_peers(i, true);
    }
    simulation.write_configuration(2, {"own"});
    CHECK(in_force_within(simulation, 2, config_apply_bound));
}

TEST_CASE("all daemons that follow a watcher learn in time that a member drains", "[replica]")
{
    gateway_simulation simulation({.daemons = 40});
    const std::vector<std::size_t> watchers = watcher_indexes(40);
    simulation.kill(watchers[0]);
    simulation.kill(watchers[1]);
    simulation.announce_drain("m1");
    simulation.run(config_apply_bound);
    for (std::size_t i = 0; i < 40; ++i) {
        INFO("daemon " << i);
        CHECK((simulation.stopped(i) || simulation.sees_draining(i, "m1")));
    }
}

TEST_CASE("daemons that follow a watcher take over a restored store's contents", "[replica]")
{
    gateway_simulation simulation({.daemons = 40});
    const auto copy = simulation.save_store();
    simulation.write_configuration(2, {"own"});
    REQUIRE(in_force_within(simulation, 2, 2s));
    simulation.restore_store(copy);
    simulation.run(100ms);
    simulation.write_configuration(3, {"own", "aged"});
    CHECK(in_force_within(simulation, 3, config_apply_bound));
}

TEST_CASE("a fleet makes few calls to the store", "[replica]")
{
    // The bound is a quarter of the calls that each daemon made when all of them watched.
    constexpr double max_calls_per_daemon = 31.0 / 4;
    const std::size_t daemons = 300;
    gateway_simulation simulation({.daemons = daemons, .max_connections = 131, .first_start = true});
    simulation.run(10s);
    simulation.write_configuration(2, {"own"});
    simulation.run(35s);
    CHECK(in_force_within(simulation, 2, 0s));
    // A renewal of a lease is priced at a tenth, like a stale read.
    const double calls = static_cast<double>(simulation.store_calls() - simulation.cheap_store_calls()) +
                         0.1 * static_cast<double>(simulation.cheap_store_calls());
    INFO("calls " << calls / daemons << " a daemon");
    CHECK(calls / daemons <= max_calls_per_daemon);
}
