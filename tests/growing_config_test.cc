// How a large configuration that changes reaches all daemons, over links of a limited rate.

#include "support/replica_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <iostream>
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

} // namespace

TEST_CASE("a change of a large configuration is in force in time over narrow links", "[growing_config]")
{
    // With the whole configuration sent to each follower, and by each peer that it asked, a change of some routes took
    // the links of watchers for tens of seconds.
    for (const double mbps : {2.0, 10.0}) {
        replica_fleet fleet({.daemons = 83, .link_mbps = mbps});
        fleet.write(large_document(1, many_routes));
        fleet.run(120s);
        const std::size_t size = large_document(1, many_routes).size();
        const cost changed = cost_of_change(fleet, large_document(2, many_routes + 300));
        INFO(mbps << " Mbit/s, " << size << " bytes: " << seconds_of(changed.took) << " s, sent " << changed.max_sent
                  << ", received " << changed.max_received << ", whole values " << changed.max_whole_values);
        CHECK(changed.took <= config_apply_bound);
        CHECK(changed.max_sent <= size);
        CHECK(changed.max_whole_values == 0);
    }
}
