// How a large configuration that changes reaches all daemons, over links of a limited rate.

#include "support/replica_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

/// Time in which a configuration has to be in force on every daemon after the store's acknowledgement.
constexpr duration config_apply_bound = 5s;

/// Routes of a configuration of about 1 MB, the most that one value of the store holds.
constexpr std::size_t many_routes = 4500;

struct cost {
    duration took{};
    std::size_t max_sent = 0;
    std::size_t max_received = 0;
    std::size_t max_whole_values = 0;
};

cost cost_of_change(replica_fleet& fleet, const std::string& document)
{
    fleet.reset_use();
    fleet.write(document);
    cost all{.took = fleet.run_until_current(30s)};
    fleet.run(5s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        all.max_sent = std::max(all.max_sent, fleet.use(i).sent);
        all.max_received = std::max(all.max_received, fleet.use(i).received);
        all.max_whole_values = std::max(all.max_whole_values, fleet.use(i).whole_values);
    }
    return all;
}

double seconds_of(duration length)
{
    return std::chrono::duration<double>(length).count();
}

/// Daemons that watch the store.
std::vector<std::size_t> watchers_of(const replica_fleet& fleet)
{
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        if (fleet.watches(i)) {
            all.push_back(i);
        }
    }
    return all;
}

void start_with(replica_fleet& fleet, const std::string& document)
{
    fleet.write(document);
    fleet.run(60s);
    REQUIRE(fleet.run_until_current(0s) == 0s);
    REQUIRE(fleet.document(0) == document);
}

} // namespace

TEST_CASE("a change of a large configuration is in force in time over narrow links", "[growing_config]")
{
    // With the whole configuration sent to each follower, and by each peer that it asked, a change of some routes took
    // the links of watchers for tens of seconds. What the store sends to a watcher is always whole: 1 MB would take
    // more than the bound over 2 Mbit/s.
    struct links {
        double mbps;
        double narrow_mbps;
        std::size_t routes;
    };
    for (const links& each : {links{2, 2, 2500}, links{10, 2, many_routes}, links{10, 10, many_routes}}) {
        replica_fleet fleet({.link_mbps = each.mbps, .narrow_link_mbps = each.narrow_mbps});
        const std::string before = large_document(1, each.routes);
        start_with(fleet, before);
        const cost changed = cost_of_change(fleet, large_document(2, each.routes + 300));
        INFO(each.mbps << " and " << each.narrow_mbps << " Mbit/s, " << before.size()
                       << " bytes: " << seconds_of(changed.took) << " s, sent " << changed.max_sent << ", received "
                       << changed.max_received << ", whole values " << changed.max_whole_values);
        CHECK(changed.took <= config_apply_bound);
        CHECK(changed.max_sent <= before.size());
        CHECK(changed.max_whole_values == 0);
    }
}

TEST_CASE("a configuration that grows every few seconds is in force in time each time", "[growing_config]")
{
    // The day of review/4: each change met the links still full of the one before.
    replica_fleet fleet({.daemons = 74});
    start_with(fleet, large_document(1, 1000));
    std::size_t routes = 1000;
    for (std::uint64_t version = 2; version <= 12; ++version) {
        routes += version <= 3 ? 1400 : 100;
        fleet.write(large_document(version, routes));
        INFO("version " << version);
        CHECK(fleet.run_until_current(10s) <= config_apply_bound);
        fleet.run(1s);
    }
}

TEST_CASE("a large configuration passes in time while the store refuses half of the daemons", "[growing_config]")
{
    // Withdrawn keys must reach daemons that the store turns away, also when those include the watchers.
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        INFO("seed " << seed);
        replica_fleet fleet({.seed = seed});
        start_with(fleet, large_document(1, 3000));
        std::size_t refused = 0;
        for (std::size_t i = seed % 2; refused < fleet.size() / 2; i += 2) {
            fleet.refuse_store(i % fleet.size(), true);
            ++refused;
        }
        fleet.write(large_document(2, 3200));
        CHECK(fleet.run_until_current(10s) <= config_apply_bound);
    }
}

TEST_CASE("a large configuration passes in time if the store refuses all watchers", "[growing_config]")
{
    replica_fleet fleet({});
    start_with(fleet, large_document(1, 3000));
    for (const std::size_t each : watchers_of(fleet)) {
        fleet.refuse_store(each, true);
    }
    fleet.write(large_document(2, 3200));
    CHECK(fleet.run_until_current(10s) <= config_apply_bound);
}

TEST_CASE("a daemon turns to another peer when the one that it asked stands still or is lost", "[growing_config]")
{
    // With one request in progress, a peer that never answers must not hold back the change.
    for (const bool lost : {false, true}) {
        INFO((lost ? "lost" : "stands still"));
        replica_fleet fleet({});
        start_with(fleet, large_document(1, 3000));
        fleet.write(large_document(2, 3200));
        fleet.run(700ms); // The watchers have read the change and send it.
        const std::vector<std::size_t> watchers = watchers_of(fleet);
        REQUIRE(watchers.size() >= 4);
        for (std::size_t i = 0; i < 2; ++i) {
            lost ? fleet.kill(watchers[i]) : fleet.freeze(watchers[i], true);
        }
        CHECK(fleet.run_until_current(10s) <= config_apply_bound - 700ms);
    }
}

TEST_CASE("a difference that cannot be read is replaced by the whole value", "[growing_config]")
{
    replica_fleet fleet({.daemons = 12});
    start_with(fleet, large_document(1, 1000));
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        fleet.damage_next_value(i);
    }
    const std::string changed = large_document(2, 1010);
    fleet.write(changed);
    CHECK(fleet.run_until_current(10s) <= config_apply_bound);
    std::size_t unreadable = 0;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        unreadable += fleet.logged(i, "peer_value_unreadable");
        CHECK(fleet.documents(i).back() == changed);
    }
    CHECK(unreadable > 0);
}

TEST_CASE("a daemon that missed many changes gets the last one from a peer that dropped the base", "[growing_config]")
{
    replica_fleet fleet({.daemons = 12});
    start_with(fleet, large_document(1, many_routes));
    fleet.refuse_store(11, true);
    fleet.isolate(11, true);
    for (std::uint64_t version = 2; version <= 6; ++version) {
        fleet.write(large_document(version, many_routes + version));
        fleet.run(5s);
    }
    fleet.isolate(11, false);
    CHECK(fleet.run_until_current(10s) <= config_apply_bound);
    CHECK(fleet.documents(11).size() == 2);
}

TEST_CASE("a daemon that restarts gets the newest configuration although peers hold older copies", "[growing_config]")
{
    // A withdrawn key would be valid again on a daemon that takes the first copy that it is offered.
    replica_fleet fleet({.daemons = 20});
    const std::string before = large_document(1, 1000);
    const std::string after = large_document(2, 990);
    start_with(fleet, before);
    for (std::size_t i = 0; i < 10; ++i) {
        fleet.refuse_store(i, true);
        fleet.isolate(i, true);
    }
    fleet.write(after);
    fleet.run(30s);
    fleet.refuse_store(15, true);
    fleet.isolate(15, true);
    fleet.restart(15);
    fleet.connect_isolated(15, 0);
    fleet.connect_isolated(15, 1);
    fleet.run(1s);
    fleet.isolate(15, false);
    fleet.run(3s);
    CHECK(fleet.documents(15) == std::vector<std::string>{after});
}

TEST_CASE("a daemon that only older copies are offered to takes one after a short wait", "[growing_config]")
{
    // It must serve although the store is down and no peer can say that its copy is up to date.
    replica_fleet fleet({.daemons = 12});
    start_with(fleet, large_document(1, 100));
    for (std::size_t i = 0; i < 12; ++i) {
        fleet.refuse_store(i, true);
    }
    fleet.run(30s);
    fleet.restart(5);
    CHECK(fleet.run_until_current(10s) <= 2500ms);
}

TEST_CASE("a daemon that starts puts no stale read of the configuration in force", "[growing_config]")
{
    replica_fleet fleet({.daemons = 20});
    const std::string before = large_document(1, 1000);
    const std::string after = large_document(2, 990);
    start_with(fleet, before);
    fleet.write(after);
    fleet.run(5s);
    fleet.serve_stale(before);
    fleet.restart(3);
    CHECK(fleet.run_until_current(10s) <= config_apply_bound);
    CHECK(fleet.documents(3) == std::vector<std::string>{after});
}

TEST_CASE("a compacted store does not bring an older configuration back", "[growing_config]")
{
    replica_fleet fleet({.daemons = 20});
    start_with(fleet, large_document(1, 1000));
    const std::string after = large_document(2, 990);
    fleet.write(after);
    fleet.forget_history();
    CHECK(fleet.run_until_current(10s) <= config_apply_bound);
    fleet.forget_history();
    fleet.restart(3);
    fleet.run(30s);
    for (std::size_t i = 0; i < fleet.size(); ++i) {
        CHECK(fleet.document(i) == after);
    }
    CHECK(fleet.documents(3) == std::vector<std::string>{after});
}
