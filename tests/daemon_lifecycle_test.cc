#include "daemon/daemon_lifecycle.h"

#include <string>

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

namespace {

using namespace citronfall;
using namespace std::chrono_literals;
using trompeloeil::_;

/// Mock of the hooks of a daemon lifecycle.
struct mock_daemon {
    MAKE_MOCK0(work_in_progress, std::size_t());
    MAKE_MOCK1(log, void(const std::string&));
    MAKE_MOCK0(stop, void());
};

daemon_lifecycle lifecycle_of(mock_daemon& mock)
{
    auto made = daemon_lifecycle::make({.work_in_progress = [&mock] { return mock.work_in_progress(); },
                                        .log = [&mock](const std::string& line) { mock.log(line); },
                                        .stop = [&mock] { mock.stop(); },
                                        .drain_bound = 10s});
    REQUIRE(ok(made));
    return take(std::move(made));
}

const instant start{1s};

} // namespace

// Guards against a shutdown that aborts requests in progress, and against calling the stop hook twice.
TEST_CASE("a daemon that drains stops once, after its work has finished", "[daemon]")
{
    mock_daemon mock;
    std::size_t work = 2;
    ALLOW_CALL(mock, work_in_progress()).LR_RETURN(work);
    auto lifecycle = lifecycle_of(mock);
    REQUIRE_CALL(mock, log("daemon is serving requests"));
    lifecycle.document_accepted(start);
    CHECK(lifecycle.accepts_work());
    {
        REQUIRE_CALL(mock, log("daemon is draining"));
        FORBID_CALL(mock, stop());
        lifecycle.drain(start);
        lifecycle.tick(start + 9s);
        CHECK_FALSE(lifecycle.accepts_work());
        CHECK(lifecycle.next() == start + 10s);
    }
    work = 0;
    REQUIRE_CALL(mock, stop());
    lifecycle.tick(start + 9s);
    lifecycle.tick(start + 11s);
    lifecycle.drain(start + 12s);
}

// Guards against a request that never ends and keeps the daemon from exiting.
TEST_CASE("a drain ends at its time limit and reports the aborted requests", "[daemon]")
{
    mock_daemon mock;
    ALLOW_CALL(mock, work_in_progress()).RETURN(3U);
    auto lifecycle = lifecycle_of(mock);
    REQUIRE_CALL(mock, log("daemon is serving requests"));
    lifecycle.document_accepted(start);
    REQUIRE_CALL(mock, log("daemon is draining"));
    lifecycle.drain(start);
    REQUIRE_CALL(mock, log("drain time limit reached, requests aborted: 3"));
    REQUIRE_CALL(mock, stop());
    lifecycle.tick(start + 10s);
}

// Guards against a daemon that accepts work before it has a document, or after its drain has started.
TEST_CASE("a daemon without a document drains at once and never accepts work", "[daemon]")
{
    mock_daemon mock;
    auto lifecycle = lifecycle_of(mock);
    CHECK_FALSE(lifecycle.accepts_work());
    REQUIRE_CALL(mock, log("daemon is draining"));
    REQUIRE_CALL(mock, stop());
    lifecycle.drain(start);
    lifecycle.document_accepted(start + 1s);
    CHECK_FALSE(lifecycle.accepts_work());
}
