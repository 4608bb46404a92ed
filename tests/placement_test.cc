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
    // Guards against late writes while all replicas are behind: the leader has few slots, and reads fill them.
    const auto strained = changed(leader(3), [](auto& fields) { fields.running = 1; });
    const auto behind = changed(replica("a"), [](auto& fields) { fields.has_min_position = false; });
    CHECK(choose_member({strained}, first) == std::nullopt);
    CHECK(choose_member({strained, behind}, first) == "a");
}

TEST_CASE("a member whose pace allows no further statement gets no read", "[placement]")
{
    // Guards against reads that flood a member that has just started, as it has nothing else to do.
    const auto paused = changed(replica("started"), [](auto& fields) { fields.paused = true; });
    const auto slower = changed(replica("b"), [](auto& fields) { fields.latency = 80ms; });
    CHECK(choose_member({paused, slower}, first) == "b");
    CHECK(choose_member({paused}, first) == std::nullopt);
}
