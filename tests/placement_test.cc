#include "dispatch/placement.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

placement_candidate replica(const std::string& name)
{
    return placement_candidate{{.member = name, .local = true, .idle = 2, .slots = 3, .latency = 20ms}};
}

placement_candidate leader(std::size_t idle)
{
    return placement_candidate{
        {.member = "leader", .leads = true, .local = true, .idle = idle, .slots = 3, .latency = 20ms}};
}

template <class Change>
placement_candidate changed(const placement_candidate& base, Change change)
{
    return with(base, change);
}

std::uint64_t first(std::uint64_t)
{
    return 0;
}

} // namespace

TEST_CASE("reads go to replicas and leave the leader's capacity to writes", "[placement]")
{
    // Guards against reads that displace statements that only the leader can serve.
    CHECK(choose_member({leader(1), replica("a")}, first) == "a");
    CHECK(choose_member({leader(2), replica("a")}, first) == "a");
}

TEST_CASE("a read takes the leader's last idle connection rather than a replica that is behind", "[placement]")
{
    // Guards against five refused attempts in a row while all replicas are seconds behind.
    const auto behind = changed(replica("a"), [](auto& fields) { fields.has_min_position = false; });
    CHECK(choose_member({leader(1), behind}, first) == "leader");
}

TEST_CASE("a member that refused a read is not chosen again", "[placement]")
{
    // Guards against using up all attempts of a statement on one member within a few milliseconds.
    const auto refused = changed(replica("a"), [](auto& fields) { fields.refused = true; });
    CHECK(choose_member({refused}, first) == std::nullopt);
    CHECK(choose_member({refused, leader(1)}, first) == "leader");
    CHECK(choose_member({refused, leader(0)}, first) == std::nullopt);
}

TEST_CASE("unreachable members get no reads, draining ones only if no other member can take them", "[placement]")
{
    const auto silent = changed(replica("a"), [](auto& fields) { fields.reachability = member_reachability::silent; });
    const auto draining = changed(replica("b"), [](auto& fields) { fields.draining = true; });
    CHECK(choose_member({silent}, first) == std::nullopt);
    CHECK(choose_member({silent, draining}, first) == "b");
    CHECK(choose_member({draining, replica("c")}, first) == "c");
}

TEST_CASE("a fast member in another data centre is preferred to a slow local one", "[placement]")
{
    const auto slow = changed(replica("slow"), [](auto& fields) { fields.latency = 100ms; });
    const auto far = changed(replica("far"), [](auto& fields) { fields.local = false; });
    CHECK(choose_member({slow, far}, first) == "far");
}

TEST_CASE("nearly equal members are chosen at random", "[placement]")
{
    // Guards against all daemons choosing the same member at once.
    const std::vector<placement_candidate> equal{replica("a"), replica("b")};
    CHECK(choose_member(equal, [](std::uint64_t) { return std::uint64_t{0}; }) == "a");
    CHECK(choose_member(equal, [](std::uint64_t) { return std::uint64_t{1}; }) == "b");
}

TEST_CASE("statements queued by this daemon raise the cost of a member", "[placement]")
{
    const auto busy = changed(replica("busy"), [](auto& fields) { fields.running = 6; });
    CHECK(expected_response_time(busy) > expected_response_time(replica("idle")));
    CHECK(choose_member({busy, replica("idle")}, first) == "idle");
}

TEST_CASE("a leader that is busy for this daemon gets no reads that replicas can serve", "[placement]")
{
    // Guards against late writes: the leader has few slots, and reads fill them.
    const auto strained = changed(leader(3), [](auto& fields) { fields.running = 1; });
    const auto unconnected = changed(replica("a"), [](auto& fields) { fields.idle = 0; });
    CHECK(choose_member({strained, unconnected}, first) == std::nullopt);
    CHECK(choose_member({strained, unconnected, replica("b")}, first) == "b");
}

TEST_CASE("a read waits for the leader rather than going to a replica that would refuse it", "[placement]")
{
    // Load: all replicas are seconds behind, and reads keep the leader busy. Guards against reads that use up their
    // attempts on refusals, and against refusals for every read that the leader cannot take at once.
    const auto behind = changed(replica("a"), [](auto& fields) { fields.has_min_position = false; });
    const auto busy = changed(leader(3), [](auto& fields) {
        fields.running = 2;
        fields.holders = 3;
    });
    CHECK(choose_member({busy, behind}, first) == std::nullopt);
    const auto silent = changed(busy, [](auto& fields) { fields.reachability = member_reachability::silent; });
    CHECK(choose_member({silent, behind}, first) == "a");
    CHECK(choose_member({behind}, first) == "a");
    const auto draining = changed(busy, [](auto& fields) {
        fields.running = 0;
        fields.draining = true;
    });
    CHECK(choose_member({draining, behind}, first) == "leader");
}

TEST_CASE("daemons share the leader's slots for reads while no replica can serve them", "[placement]")
{
    // Guards against free slots on the leader while reads wait, and against a queue on it in front of writes.
    const auto behind = changed(replica("a"), [](auto& fields) { fields.has_min_position = false; });
    const auto running = [](std::size_t statements, std::size_t holders) {
        return changed(leader(8), [&](auto& fields) {
            fields.running = statements;
            fields.slots = 4;
            fields.holders = holders;
        });
    };
    CHECK(choose_member({running(5, 1), behind}, first) == "leader");
    CHECK(choose_member({running(6, 1), behind}, first) == std::nullopt);
    CHECK(choose_member({running(1, 3), behind}, first) == "leader");
    CHECK(choose_member({running(2, 3), behind}, first) == std::nullopt);
    CHECK(choose_member({running(0, 6), behind}, first) == "leader");
    CHECK(choose_member({running(1, 6), behind}, first) == std::nullopt);
    CHECK(choose_member({running(1, 1), replica("a")}, first) == "a");
}

TEST_CASE("a member whose pace allows no further statement gets no read", "[placement]")
{
    // Guards against reads that flood a member that has just started, as it has nothing else to do.
    const auto paused = changed(replica("started"), [](auto& fields) { fields.paused = true; });
    const auto slower = changed(replica("b"), [](auto& fields) { fields.latency = 80ms; });
    CHECK(choose_member({paused, slower}, first) == "b");
    CHECK(choose_member({paused}, first) == std::nullopt);
}
