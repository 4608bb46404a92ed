#include "support/replicator_fleet.h"

#include <catch2/catch.hpp>

using namespace citronfall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using test_support::replicator_fleet;

namespace {

/// docs/design.md section 1, rule 9.
constexpr duration target = seconds(5);

std::string routing(std::uint64_t wait)
{
    return "{\"replica_wait_ms\":" + std::to_string(wait) + "}";
}

struct conditions {
    const char* name;
    std::size_t size;
    duration delay;
    unsigned loss_percent;
    unsigned stale_percent;
};

} // namespace

// Guards against a change that propagates too slowly, is reverted on some daemon, or requires that every daemon calls
// the platform.
TEST_CASE("an accepted change is in force on all daemons in time and is never reverted", "[propagation]")
{
    const auto table = std::vector<conditions>{{"well", 7, milliseconds(2), 0, 0},
                                               {"slow platform", 7, milliseconds(500), 0, 0},
                                               {"lossy links", 7, milliseconds(2), 20, 0},
                                               {"stale reads", 7, milliseconds(2), 0, 50},
                                               {"twenty daemons", 20, milliseconds(2), 5, 10}};
    for (const conditions& each : table) {
        for (std::uint64_t seed = 1; seed <= 10; ++seed) {
            INFO(each.name << ", seed " << seed);
            replicator_fleet fleet({.size = each.size,
                                    .seed = seed,
                                    .platform_delay = each.delay,
                                    .loss_percent = each.loss_percent,
                                    .stale_read_percent = each.stale_percent});
            fleet.change(document_part_id::routing, routing(1));
            fleet.run(seconds(25));
            REQUIRE(fleet.in_force_on(1) == each.size);
            CHECK(fleet.watchers() >= 1);
            CHECK(fleet.watchers() <= 2);
            for (std::uint64_t i = 2; i <= 5; ++i) {
                const std::uint64_t revision = fleet.change(document_part_id::routing, routing(i));
                CHECK(fleet.run_until(revision, target + seconds(1)) <= target);
                fleet.run(milliseconds(300 * seed));
            }
            CHECK(fleet.reverted_revisions == 0);
            fleet.run(seconds(6));
            for (std::size_t i = 0; i < each.size; ++i) {
                const auto status = fleet.replicator(fleet.name_of(i)).status(fleet.now).at(3);
                CHECK(status->state == "in_force");
                CHECK(status->in_force_on == each.size);
                CHECK(status->daemons == each.size);
            }
        }
    }
}

// Guards against a change that does not propagate if the platform fails right after one daemon has read it.
TEST_CASE("a change that a single daemon has read reaches all daemons", "[propagation]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        replicator_fleet fleet({.size = 7, .seed = seed});
        fleet.change(document_part_id::routing, routing(1));
        fleet.run(seconds(25));
        const auto revision = fleet.change(document_part_id::routing, routing(2));
        fleet.run(milliseconds(5));
        fleet.platform_down = true;
        CHECK(fleet.run_until(revision, target + seconds(1)) <= target);
        // A daemon that starts now gets the document from its neighbours.
        fleet.start(fleet.name_of(3));
        CHECK(fleet.run_until(revision, target + seconds(1)) <= target);
    }
}

// Guards against a daemon that serves without a document, or that never gets one after an outage of the platform.
TEST_CASE("daemons that start during an outage of the platform get the document after it", "[propagation]")
{
    replicator_fleet fleet({.size = 3, .seed = 7});
    fleet.platform_down = true;
    fleet.change(document_part_id::routing, routing(1));
    fleet.run(seconds(10));
    CHECK(fleet.in_force_on(1) == 0);
    CHECK(fleet.replicator(fleet.name_of(0)).status(fleet.now).front()->state == "unknown");
    fleet.platform_down = false;
    CHECK(fleet.run_until(1, target) < target);
}

// Guards against a daemon that keeps an outdated document while it is disconnected from all neighbours.
TEST_CASE("a daemon without reachable neighbours reads the platform at a limited rate", "[propagation]")
{
    replicator_fleet fleet({.size = 2, .seed = 9});
    fleet.change(document_part_id::routing, routing(1));
    fleet.run(seconds(25));
    fleet.stopped.insert(fleet.name_of(1));
    fleet.run(seconds(15)); // The lease of the stopped daemon expires.
    const auto before = fleet.platform_calls;
    const auto revision = fleet.change(document_part_id::routing, routing(2));
    CHECK(fleet.run_until(revision, target + seconds(1)) <= target);
    fleet.run(seconds(20));
    CHECK(fleet.platform_calls - before <= 25);
}

// Guards against a direct edit of the stored document that takes effect, is overwritten, or is not reported.
TEST_CASE("values that no recorded change accounts for are reported and do not take effect", "[propagation]")
{
    replicator_fleet fleet({.size = 7, .seed = 3});
    fleet.change(document_part_id::routing, routing(1));
    fleet.run(seconds(25));
    const kv_entry entry = fleet.platform.read("document");
    std::string edited = entry->value;
    edited.replace(edited.find("\"replica_wait_ms\":1"), 19, "\"replica_wait_ms\":77");
    fleet.platform.compare_and_swap("document", entry->revision, edited);
    fleet.run(seconds(5));
    std::size_t shown = 0;
    for (std::size_t i = 0; i < 7; ++i) {
        const auto status = fleet.replicator(fleet.name_of(i)).status(fleet.now).at(3);
        shown += status->state == "diverged" && !status->differences.empty() ? 1U : 0U;
        CHECK(fleet.replicator(fleet.name_of(i)).in_force()->config->routing->replica_wait == milliseconds(1));
    }
    CHECK(shown >= 1);
    CHECK(fleet.platform.read("document")->value == edited);
    const kv_entry held = fleet.platform.read("document");
    fleet.platform.compare_and_swap("document", held->revision, entry->value);
    fleet.run(seconds(2));
    CHECK(fleet.replicator(fleet.name_of(0)).status(fleet.now).at(3)->state == "in_force");
}
