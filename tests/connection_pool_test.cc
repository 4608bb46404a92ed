#include "connection_pool/connection_pool.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;
using namespace std::chrono_literals;

const member_key pooled_member{{.group = "g", .member = "a"}};

/// A connection pool with a hook that records its commands; the test supplies events and time.
struct connection_pool_fixture {
    std::vector<upstream_command> sent;
    std::uint64_t last_number = 0;
    std::uint32_t limit = 20;
    instant now{1h};
    connection_pool pool =
        take(connection_pool::make({.send = [this](const upstream_command& command) { sent.push_back(command); },
                                    .limit = [this](const member_key&) { return limit; },
                                    .address = [](const member_key&) { return std::string("127.0.0.1:1"); },
                                    .next_number = [this] { return ++last_number; },
                                    .connect_timeout =
                                        [] {
                                            return duration(500ms);
                                        }}));

    void event(upstream_event_kind kind, connection_number connection, exchange_number exchange = 0)
    {
        pool.apply(upstream_event{{.kind = kind, .connection = connection, .exchange = exchange, .sent_at = now}}, now);
    }

    void status(upstream_event_kind kind)
    {
        pool.observe_status(pooled_member, upstream_event{{.kind = kind, .sent_at = now}}, now);
    }

    /// Opens idle connections and returns their numbers.
    std::vector<connection_number> open(std::size_t count)
    {
        std::vector<connection_number> numbers;
        while (numbers.size() < count) {
            const std::size_t before = sent.size();
            pool.ensure_connections(pooled_member, count - numbers.size(), now);
            const std::vector<upstream_command> opening(sent.begin() + static_cast<std::ptrdiff_t>(before), sent.end());
            REQUIRE_FALSE(opening.empty());
            for (const upstream_command& each : opening) {
                event(upstream_event_kind::opened, each->connection);
                numbers.push_back(each->connection);
            }
        }
        return numbers;
    }

    void advance(duration time)
    {
        now += time;
        pool.tick(now);
    }

    [[nodiscard]] std::size_t count(upstream_command_kind kind) const
    {
        return static_cast<std::size_t>(
            std::count_if(sent.begin(), sent.end(), [kind](const auto& each) { return each->kind == kind; }));
    }

    /// The connections whose exchanges were aborted.
    [[nodiscard]] std::vector<connection_number> aborted() const
    {
        std::vector<connection_number> numbers;
        for (const upstream_command& each : sent) {
            if (each->kind == upstream_command_kind::abort) {
                numbers.push_back(each->connection);
            }
        }
        return numbers;
    }

    /// Answers all outstanding probes.
    void answer_probes()
    {
        for (const upstream_command& each : std::exchange(sent, {})) {
            if (each->kind == upstream_command_kind::start_exchange) {
                event(upstream_event_kind::answered, each->connection, each->exchange);
            }
        }
    }
};

} // namespace

TEST_CASE("only a few connections to a member are opened at a time", "[connection]")
{
    // Guards against hundreds of connections opened at once after a jump in load. Each costs the member 10 to 30 ms.
    connection_pool_fixture fixture;
    fixture.pool.ensure_connections(pooled_member, 15, fixture.now);
    CHECK(fixture.count(upstream_command_kind::open) == 4);
    fixture.event(upstream_event_kind::opened, fixture.sent[0]->connection);
    fixture.event(upstream_event_kind::open_failed, fixture.sent[1]->connection);
    fixture.pool.ensure_connections(pooled_member, 15, fixture.now);
    CHECK(fixture.count(upstream_command_kind::open) == 6);
    CHECK(fixture.pool.connection_count(pooled_member) == 5);
    fixture.limit = 5;
    fixture.event(upstream_event_kind::opened, fixture.sent[2]->connection);
    fixture.pool.ensure_connections(pooled_member, 15, fixture.now);
    CHECK(fixture.count(upstream_command_kind::open) == 6);
}

TEST_CASE("an idle connection is probed at intervals and not handed out during a probe", "[connection]")
{
    connection_pool_fixture fixture;
    fixture.open(1);
    fixture.sent.clear();
    fixture.advance(399ms);
    CHECK(fixture.sent.empty());
    fixture.advance(1ms);
    REQUIRE(fixture.sent.size() == 1);
    CHECK(fixture.sent[0]->call->operation == member_operation::status);
    CHECK(fixture.sent[0]->deadline == fixture.now + 250ms);
    CHECK_FALSE(fixture.pool.acquire(pooled_member, fixture.now));
    fixture.answer_probes();
    const auto taken = fixture.pool.acquire(pooled_member, fixture.now);
    REQUIRE(taken);
    fixture.advance(10s);
    CHECK(fixture.sent.empty());
    fixture.pool.release(*taken, fixture.now);
    fixture.advance(400ms);
    CHECK(fixture.sent.size() == 1);
}

TEST_CASE("silence of all open connections is detected within 1 s", "[connection]")
{
    // Guards against waiting for the deadline of the caller, which may be minutes away.
    connection_pool_fixture fixture;
    fixture.status(upstream_event_kind::opened);
    const auto open = fixture.open(3);
    const auto used = fixture.pool.acquire(pooled_member, fixture.now);
    REQUIRE(used);
    fixture.sent.clear();
    const instant silent_since = fixture.now;
    fixture.advance(100ms); // The interval of status calls.
    fixture.advance(250ms); // Their timeout.
    fixture.status(upstream_event_kind::failed);
    CHECK(fixture.count(upstream_command_kind::start_exchange) == 2);
    fixture.status(upstream_event_kind::opened);
    fixture.status(upstream_event_kind::answered); // New connections work, which proves nothing about the old ones.
    const auto probes = fixture.sent;
    fixture.advance(250ms);
    for (const upstream_command& each : probes) {
        fixture.event(upstream_event_kind::failed, each->connection, each->exchange);
    }
    CHECK(fixture.aborted() == std::vector{*used});
    fixture.event(upstream_event_kind::failed, *used, 7);
    CHECK(fixture.pool.connection_count(pooled_member) == 0);
    CHECK(fixture.now - silent_since < 1s);
    CHECK(open.size() == 3);
}

TEST_CASE("a silent idle connection is detected by its probe within 1 s", "[connection]")
{
    connection_pool_fixture fixture;
    fixture.status(upstream_event_kind::opened);
    fixture.open(2);
    fixture.sent.clear();
    const instant silent_since = fixture.now;
    fixture.advance(400ms);
    REQUIRE(fixture.sent.size() == 2);
    const auto probes = fixture.sent;
    fixture.event(upstream_event_kind::answered, probes[0]->connection, probes[0]->exchange);
    fixture.advance(250ms);
    fixture.event(upstream_event_kind::failed, probes[1]->connection, probes[1]->exchange);
    CHECK(fixture.now - silent_since < 1s);
    CHECK(fixture.pool.connection_count(pooled_member) == 1);
    CHECK(fixture.sent.size() == 3); // The other connection is now suspect and is probed again.
}

TEST_CASE("a long statement is not aborted while an older connection answers", "[connection]")
{
    for (const bool by_status : {true, false}) {
        connection_pool_fixture fixture;
        fixture.status(upstream_event_kind::opened);
        fixture.open(3);
        fixture.advance(1ms);
        const auto used = fixture.pool.acquire(pooled_member, fixture.now);
        const auto lost = fixture.pool.acquire(pooled_member, fixture.now);
        REQUIRE((used && lost));
        fixture.sent.clear();
        fixture.event(upstream_event_kind::failed, *lost, 7); // For example at the deadline of its caller.
        fixture.advance(100ms);
        if (by_status) {
            fixture.status(upstream_event_kind::answered);
        } else {
            fixture.answer_probes();
        }
        for (int i = 0; i < 300; ++i) {
            fixture.advance(100ms);
            CHECK(fixture.aborted().empty());
            fixture.answer_probes();
        }
        fixture.pool.release(*used, fixture.now);
        CHECK(fixture.pool.connection_count(pooled_member) == 2);
    }
}

TEST_CASE("an answer ends a suspicion, and a later suspicion has its own time limit", "[connection]")
{
    connection_pool_fixture fixture;
    fixture.status(upstream_event_kind::opened);
    fixture.open(1);
    fixture.advance(1ms);
    const auto used = fixture.pool.acquire(pooled_member, fixture.now);
    REQUIRE(used);
    fixture.status(upstream_event_kind::failed);
    fixture.status(upstream_event_kind::opened);
    fixture.advance(200ms);
    fixture.event(upstream_event_kind::answered, *used, 9);
    fixture.advance(10ms);
    fixture.status(upstream_event_kind::failed);
    fixture.advance(40ms); // The timer of the first suspicion must not end the second one.
    CHECK(fixture.aborted().empty());
    fixture.advance(210ms);
    CHECK(fixture.aborted() == std::vector{*used});
}

TEST_CASE("a connection is closed even if an answer arrives while its exchange is aborted", "[connection]")
{
    connection_pool_fixture fixture;
    fixture.open(1);
    fixture.advance(1ms);
    const auto used = fixture.pool.acquire(pooled_member, fixture.now);
    REQUIRE(used);
    fixture.status(upstream_event_kind::failed);
    fixture.advance(250ms);
    REQUIRE(fixture.aborted().size() == 1);
    fixture.event(upstream_event_kind::answered, *used, 9);
    fixture.pool.release(*used, fixture.now);
    CHECK_FALSE(fixture.pool.acquire(pooled_member, fixture.now));
    CHECK(fixture.sent.back()->kind == upstream_command_kind::close);
    CHECK(fixture.pool.connection_count(pooled_member) == 0);
}
