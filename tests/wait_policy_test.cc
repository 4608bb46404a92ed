#include "dispatch/wait_policy.h"

#include <catch2/catch.hpp>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

const instant start{std::chrono::seconds(100)};

wait_prospects_fields queued(std::size_t ahead)
{
    return {.now = start,
            .target = start + 250ms,
            .deadline = start + 800ms,
            .service_time = 50ms,
            .ahead = ahead,
            .connections = 2};
}

wait_prospects_fields leaderless(duration since)
{
    return {.now = start,
            .target = start + 250ms,
            .deadline = start + 800ms,
            .service_time = 20ms,
            .connections = 0,
            .needs_leader = true,
            .leader_known = false,
            .leader_lost = start - since};
}

} // namespace

TEST_CASE("a statement waits for its turn only while its answer can be in time", "[wait_policy]")
{
    // Guards against a queue in which every answer is late: 8 ahead on 2 connections take 200 ms, 10 take 250 ms.
    CHECK(worth_waiting(wait_prospects{queued(8)}));
    CHECK_FALSE(worth_waiting(wait_prospects{queued(10)}));
}

TEST_CASE("a statement waits for a leader up to its deadline, although its answer is late", "[wait_policy]")
{
    // Guards against refusals during a change of primary that ends while the caller still waits.
    CHECK(worth_waiting(wait_prospects{leaderless(0ms)}));
    CHECK(worth_waiting(wait_prospects{leaderless(600ms)}));
}

TEST_CASE("a statement waits for the first leader that a starting daemon looks for", "[wait_policy]")
{
    // Guards against refusals in the instant before a daemon that has just started finds the leaders: a caller has few
    // retries, and all daemons start together after a loss of power.
    auto starting = leaderless(0ms);
    starting.leader_lost.reset();
    starting.searched_since = start - 50ms;
    CHECK(worth_waiting(wait_prospects{starting}));
    CHECK(retry_after(wait_prospects{starting}) == 250ms);
    starting.searched_since = start - 5s;
    CHECK_FALSE(worth_waiting(wait_prospects{starting}));
}

TEST_CASE("a statement is refused at once when nobody can tell when a leader returns", "[wait_policy]")
{
    // Guards against holding requests that cannot be served.
    CHECK_FALSE(worth_waiting(wait_prospects{leaderless(5s)}));
    auto never = leaderless(0ms);
    never.leader_lost.reset();
    CHECK_FALSE(worth_waiting(wait_prospects{never}));
}

TEST_CASE("a statement that nothing can serve is refused", "[wait_policy]")
{
    auto nothing = queued(0);
    nothing.connections = 0;
    CHECK_FALSE(worth_waiting(wait_prospects{nothing}));
}

TEST_CASE("a refusal names the time to come back", "[wait_policy]")
{
    CHECK(retry_after(wait_prospects{leaderless(200ms)}) == 500ms);
    CHECK(retry_after(wait_prospects{leaderless(5s)}) == 1s);
    CHECK(retry_after(wait_prospects{queued(10)}) == 250ms);
}
