#include "connection_pool/connection_pool.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;
using namespace std::chrono_literals;

const member_key subject{{.group = "g", .member = "a"}};

/// A connection pool with a hook that records its commands; the test supplies events and time.
struct connection_bench {
    std::vector<upstream_command> sent;
    std::uint64_t last_number = 0;
    std::uint32_t limit = 20;
    instant now{1h};
    connection_pool table =
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
        table.apply(upstream_event{{.kind = kind, .connection = connection, .exchange = exchange, .sent_at = now}},
                    now);
    }

    void status(upstream_event_kind kind)
    {
        table.observe_status(subject, upstream_event{{.kind = kind, .sent_at = now}}, now);
    }

    /// Opens idle connections and returns their numbers.
    std::vector<connection_number> open(std::size_t count)
    {
        std::vector<connection_number> numbers;
        while (numbers.size() < count) {
            const std::size_t before = sent.size();
            table.ensure_connections(subject, count - numbers.size(), now);
            const std::vector<upstream_command> opening(sent.begin() + static_cast<std::ptrdiff_t>(before), sent.end());
            REQUIRE_FALSE(opening.empty());
            for (const upstream_command& each : opening) {
                event(upstream_event_kind::opened, each->connection);
                numbers.push_back(each->connection);
            }
        }
        return numbers;
    }

    void pass(duration time)
    {
        now += time;
        table.tick(now);
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
    connection_bench bench;
    bench.table.ensure_connections(subject, 15, bench.now);
    CHECK(bench.count(upstream_command_kind::open) == 4);
    bench.event(upstream_event_kind::opened, bench.sent[0]->connection);
    bench.event(upstream_event_kind::open_failed, bench.sent[1]->connection);
    bench.table.ensure_connections(subject, 15, bench.now);
    CHECK(bench.count(upstream_command_kind::open) == 6);
    CHECK(bench.table.held(subject) == 5);
    bench.limit = 5;
    bench.event(upstream_event_kind::opened, bench.sent[2]->connection);
    bench.table.ensure_connections(subject, 15, bench.now);
    CHECK(bench.count(upstream_command_kind::open) == 6);
}

TEST_CASE("an idle connection is probed at intervals and not handed out during a probe", "[connection]")
{
    connection_bench bench;
    bench.open(1);
    bench.sent.clear();
    bench.pass(399ms);
    CHECK(bench.sent.empty());
    bench.pass(1ms);
    REQUIRE(bench.sent.size() == 1);
    CHECK(bench.sent[0]->call->operation == member_operation::status);
    CHECK(bench.sent[0]->deadline == bench.now + 250ms);
    CHECK_FALSE(bench.table.acquire(subject, bench.now));
    bench.answer_probes();
    const auto taken = bench.table.acquire(subject, bench.now);
    REQUIRE(taken);
    bench.pass(10s);
    CHECK(bench.sent.empty());
    bench.table.release(*taken, bench.now);
    bench.pass(400ms);
    CHECK(bench.sent.size() == 1);
}

TEST_CASE("silence of all open connections is detected within 1 s", "[connection]")
{
    // Guards against waiting for the deadline of the caller, which may be minutes away.
    connection_bench bench;
    bench.status(upstream_event_kind::opened);
    const auto open = bench.open(3);
    const auto used = bench.table.acquire(subject, bench.now);
    REQUIRE(used);
    bench.sent.clear();
    const instant silent_since = bench.now;
    bench.pass(100ms); // The interval of status calls.
    bench.pass(250ms); // Their timeout.
    bench.status(upstream_event_kind::failed);
    CHECK(bench.count(upstream_command_kind::start_exchange) == 2);
    bench.status(upstream_event_kind::opened);
    bench.status(upstream_event_kind::answered); // New connections work, which proves nothing about the old ones.
    const auto probes = bench.sent;
    bench.pass(250ms);
    for (const upstream_command& each : probes) {
        bench.event(upstream_event_kind::failed, each->connection, each->exchange);
    }
    CHECK(bench.aborted() == std::vector{*used});
    bench.event(upstream_event_kind::failed, *used, 7);
    CHECK(bench.table.held(subject) == 0);
    CHECK(bench.now - silent_since < 1s);
    CHECK(open.size() == 3);
}

TEST_CASE("a silent idle connection is detected by its probe within 1 s", "[connection]")
{
    connection_bench bench;
    bench.status(upstream_event_kind::opened);
    bench.open(2);
    bench.sent.clear();
    const instant silent_since = bench.now;
    bench.pass(400ms);
    REQUIRE(bench.sent.size() == 2);
    const auto probes = bench.sent;
    bench.event(upstream_event_kind::answered, probes[0]->connection, probes[0]->exchange);
    bench.pass(250ms);
    bench.event(upstream_event_kind::failed, probes[1]->connection, probes[1]->exchange);
    CHECK(bench.now - silent_since < 1s);
    CHECK(bench.table.held(subject) == 1);
    CHECK(bench.sent.size() == 3); // The other connection is now suspect and is probed again.
}

TEST_CASE("a long statement is not aborted while an older connection answers", "[connection]")
{
    for (const bool by_status : {true, false}) {
        connection_bench bench;
        bench.status(upstream_event_kind::opened);
        bench.open(3);
        bench.pass(1ms);
        const auto used = bench.table.acquire(subject, bench.now);
        const auto lost = bench.table.acquire(subject, bench.now);
        REQUIRE((used && lost));
        bench.sent.clear();
        bench.event(upstream_event_kind::failed, *lost, 7); // For example at the deadline of its caller.
        bench.pass(100ms);
        if (by_status) {
            bench.status(upstream_event_kind::answered);
        } else {
            bench.answer_probes();
        }
        for (int i = 0; i < 300; ++i) {
            bench.pass(100ms);
            CHECK(bench.aborted().empty());
            bench.answer_probes();
        }
        bench.table.release(*used, bench.now);
        CHECK(bench.table.held(subject) == 2);
    }
}

TEST_CASE("an answer ends a suspicion, and a later suspicion has its own time limit", "[connection]")
{
    connection_bench bench;
    bench.status(upstream_event_kind::opened);
    bench.open(1);
    bench.pass(1ms);
    const auto used = bench.table.acquire(subject, bench.now);
    REQUIRE(used);
    bench.status(upstream_event_kind::failed);
    bench.status(upstream_event_kind::opened);
    bench.pass(200ms);
    bench.event(upstream_event_kind::answered, *used, 9);
    bench.pass(10ms);
    bench.status(upstream_event_kind::failed);
    bench.pass(40ms); // The timer of the first suspicion must not end the second one.
    CHECK(bench.aborted().empty());
    bench.pass(210ms);
    CHECK(bench.aborted() == std::vector{*used});
}

TEST_CASE("a connection is closed even if an answer arrives while its exchange is aborted", "[connection]")
{
    connection_bench bench;
    bench.open(1);
    bench.pass(1ms);
    const auto used = bench.table.acquire(subject, bench.now);
    REQUIRE(used);
    bench.status(upstream_event_kind::failed);
    bench.pass(250ms);
    REQUIRE(bench.aborted().size() == 1);
    bench.event(upstream_event_kind::answered, *used, 9);
    bench.table.release(*used, bench.now);
    CHECK_FALSE(bench.table.acquire(subject, bench.now));
    CHECK(bench.sent.back()->kind == upstream_command_kind::close);
    CHECK(bench.table.held(subject) == 0);
}
