#include "dispatch/wait_policy.h"

#include <catch2/catch.hpp>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

const instant start{std::chrono::seconds(100)};

wait_conditions_fields queued(std::size_t queued_ahead)
{
    return {.now = start,
            .target = start + 250ms,
            .deadline = start + 800ms,
            .service_time = 50ms,
            .queued_ahead = queued_ahead,
            .connections = 2};
}

wait_conditions_fields leaderless(duration since)
{
    return {.now = start,
            .target = start + 250ms,
            .deadline = start + 800ms,
            .service_time = 20ms,
            .connections = 0,
            .needs_leader = true,
            .leader_known = false,
            .leader_lost_at = start - since};
}

} // namespace

TEST_CASE("a statement stays queued only while it can meet its latency target", "[wait_policy]")
{
    // Guards against a queue in which all answers are late: 8 statements ahead on 2 connections take 200 ms, 10 take
    // 250 ms.
    CHECK(worth_waiting(wait_conditions{queued(8)}));
    CHECK_FALSE(worth_waiting(wait_conditions{queued(10)}));
}

TEST_CASE("a statement waits for a leader up to its deadline, beyond its latency target", "[wait_policy]")
{
    // Guards against refusing statements during a change of primary that ends before their deadline.
    CHECK(worth_waiting(wait_conditions{leaderless(0ms)}));
    CHECK(worth_waiting(wait_conditions{leaderless(600ms)}));
}

TEST_CASE("a statement waits for the first leader that a starting daemon looks for", "[wait_policy]")
{
    // Guards against refusing statements just after a daemon has started, before it finds the leaders: callers retry
    // only a few times, and all daemons start together after a power loss.
    auto starting = leaderless(0ms);
    starting.leader_lost_at.reset();
    starting.leader_searched_since = start - 50ms;
    CHECK(worth_waiting(wait_conditions{starting}));
    CHECK(retry_after(wait_conditions{starting}) == 250ms);
    starting.leader_searched_since = start - 5s;
    CHECK_FALSE(worth_waiting(wait_conditions{starting}));
}

TEST_CASE("a statement is refused at once if the wait for a leader cannot be estimated", "[wait_policy]")
{
    // Guards against queueing statements that cannot be served.
    CHECK_FALSE(worth_waiting(wait_conditions{leaderless(5s)}));
    auto never = leaderless(0ms);
    never.leader_lost_at.reset();
    CHECK_FALSE(worth_waiting(wait_conditions{never}));
}

TEST_CASE("a statement that no member can serve is refused", "[wait_policy]")
{
    auto nothing = queued(0);
    nothing.connections = 0;
    CHECK_FALSE(worth_waiting(wait_conditions{nothing}));
}

TEST_CASE("a refusal gives a retry delay", "[wait_policy]")
{
    CHECK(retry_after(wait_conditions{leaderless(200ms)}) == 500ms);
    CHECK(retry_after(wait_conditions{leaderless(5s)}) == 1s);
    CHECK(retry_after(wait_conditions{queued(10)}) == 250ms);
}
