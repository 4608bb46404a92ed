#include "pool/connection_budget.h"
#include "pool/latency_estimate.h"
#include "pool/member_health.h"
#include "pool/member_pool.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

const instant start{std::chrono::seconds(1000)};

/// A pool with one member, whose events the test supplies.
struct pool_fixture {
    explicit pool_fixture(std::uint32_t limit = 10)
    {
        auto made =
            member_pool::make({.send = [this](const member_command& command) { commands.push_back(command); },
                               .idle = [this](const std::string&, instant) { ++idle_events; },
                               .answered = [](const std::string&, const member_reply&, instant, instant) {},
                               .reachability_changed = [this](const std::string&, member_reachability reachability,
                                                              instant) { reaches.push_back(reachability); },
                               .log =
                                   [](const std::string&, const std::string&) {
                                   }},
                              5s);
        REQUIRE(ok(made));
        pool = take(std::move(made));
        pool->configure({{"m", member_registration{{.id = "m", .service = "s", .address = "127.0.0.1:1"}}}},
                        {{"s", {.limit = limit}}}, start);
        pool->tick(start);
    }

    template <class Command>
    [[nodiscard]] std::size_t count() const
    {
        std::size_t found = 0;
        for (const member_command& each : commands) {
            found += std::holds_alternative<Command>(each) ? 1 : 0;
        }
        return found;
    }

    void open_last(instant now)
    {
        pool->handle(
            member_connection_opened{{.connection = std::get<open_member_connection>(commands.back())->connection}},
            now);
    }

    void reply(connection_number connection, transaction_state state, instant now)
    {
        pool->handle(member_reply{{.connection = connection, .receipt = "-", .state = state}}, now);
    }

    std::vector<member_command> commands;
    std::vector<member_reachability> reaches;
    std::size_t idle_events = 0;
    std::unique_ptr<member_pool> pool;
};

} // namespace

TEST_CASE("a pool keeps one connection to each member and hands it out once", "[pool]")
{
    pool_fixture fixture;
    REQUIRE(fixture.count<open_member_connection>() == 1);
    fixture.open_last(start);
    const auto connection = fixture.pool->acquire("m", {}, start);
    CHECK(connection != 0);
    CHECK(fixture.pool->acquire("m", {}, start) == 0);
    fixture.pool->release(connection, start);
    CHECK(fixture.pool->acquire("m", {}, start) == connection);
}

TEST_CASE("requesting one more connection does not take an idle one", "[pool]")
{
    // Guards against a request that takes an idle connection and never returns it: this used up a member's
    // connections one by one.
    pool_fixture fixture;
    fixture.open_last(start);
    fixture.pool->open_if_none_idle("m", {}, 3, start);
    CHECK(fixture.pool->acquire("m", {}, start) != 0);
}

TEST_CASE("a connection is reused only after its transaction is rolled back", "[pool]")
{
    pool_fixture fixture;
    fixture.open_last(start);
    const auto connection = fixture.pool->acquire("m", {}, start);
    fixture.pool->send_internal(
        connection, {begin_read_write{}}, [](const exchange_outcome&, instant) {}, start);
    fixture.reply(connection, transaction_state::open, start);
    fixture.pool->release(connection, start);
    CHECK(fixture.pool->acquire("m", {}, start) == 0); // The rollback is in progress.
    fixture.reply(connection, transaction_state::none, start);
    CHECK(fixture.pool->acquire("m", {}, start) == connection);
}

TEST_CASE("a connection whose rollback gets no answer is closed", "[pool]")
{
    // Guards against connections that stay occupied for ever because one answer was lost.
    pool_fixture fixture;
    fixture.open_last(start);
    const auto connection = fixture.pool->acquire("m", {}, start);
    fixture.pool->send_internal(
        connection, {begin_read_write{}}, [](const exchange_outcome&, instant) {}, start);
    fixture.reply(connection, transaction_state::open, start);
    fixture.pool->release(connection, start);
    fixture.pool->tick(start + 2s);
    CHECK(fixture.count<close_member_connection>() == 1);
    CHECK(fixture.pool->find(connection) == nullptr);
}

TEST_CASE("missing answers do not count while this process was suspended", "[pool]")
{
    pool_fixture fixture;
    fixture.open_last(start);
    const auto connection = fixture.pool->acquire("m", {}, start);
    fixture.pool->send_internal(
        connection, {begin_read_write{}}, [](const exchange_outcome&, instant) {}, start);
    fixture.pool->note_process_stall(start + 4s);
    fixture.pool->tick(start + 4s);
    CHECK(fixture.pool->find(connection) != nullptr);
}

TEST_CASE("a lost connection is reported to its statement in flight, else to its user", "[pool]")
{
    pool_fixture fixture;
    fixture.open_last(start);
    bool lost_user = false;
    bool lost_statement = false;
    const auto connection = fixture.pool->acquire("m",
                                                  {.lost =
                                                       [&](instant) {
                                                           lost_user = true;
                                                       }},
                                                  start);
    fixture.pool->send(
        connection, member_query{{.request_id = "q"}},
        {.sent_at = start, .counts_as_load = true, .ended = [&](const exchange_outcome& outcome, instant) {
             lost_statement = std::holds_alternative<exchange_lost>(outcome);
         }});
    fixture.pool->handle(member_connection_closed{{.connection = connection}}, start);
    CHECK(lost_statement);
    CHECK_FALSE(lost_user);
    CHECK(fixture.pool->member("m")->running == 0);
}

TEST_CASE("a refused connection means that the member is down, a connect timeout that it is unresponsive", "[pool]")
{
    struct row {
        connection_end_reason end;
        member_reachability expected;
    };
    for (const row& each : {row{connection_end_reason::refused, member_reachability::down},
                            row{connection_end_reason::no_answer, member_reachability::silent}}) {
        pool_fixture fixture;
        const auto number = std::get<open_member_connection>(fixture.commands.back())->connection;
        fixture.pool->handle(member_connection_closed{{.connection = number, .end = each.end}}, start + 400ms);
        REQUIRE(fixture.reaches.size() == 1);
        CHECK(fixture.reaches.front() == each.expected);
    }
}

TEST_CASE("a member that answers on another connection is reachable", "[pool]")
{
    // Guards against giving up a member that serves other connections because one connection is unresponsive.
    member_health health;
    health.answered(start + 100ms);
    health.unanswered(start);
    CHECK(health.reachability() == member_reachability::reachable);
    health.unanswered(start + 200ms);
    CHECK(health.reachability() == member_reachability::silent);
}

TEST_CASE("connections are borrowed beyond the fair share, and returned", "[pool]")
{
    const connection_demand demand{.limit = 20, .daemons = 4, .open = 2, .opening = 0, .waiting = 1};
    CHECK(may_open(demand, start));
    auto nobody_waits = demand;
    nobody_waits.waiting = 0;
    CHECK_FALSE(may_open(nobody_waits, start));
    auto many = demand;
    many.open = 20;
    CHECK_FALSE(may_open(many, start));
    CHECK(should_close(many, start, start + 5s));
    auto kept = demand;
    kept.open = fair_share(demand.limit, demand.daemons);
    CHECK_FALSE(should_close(kept, start, start + 1h));
}

TEST_CASE("restarted daemons can connect while the connections of their earlier processes still count", "[pool]")
{
    // The connections of instances that lost power count against the limit for seconds. Each daemon must be able to
    // open one in addition to the fair shares.
    for (const std::size_t daemons : {1U, 3U, 6U, 7U, 11U}) {
        INFO("daemons " << daemons);
        constexpr std::uint32_t limit = 22;
        CHECK(daemons * fair_share(limit, daemons) + daemons <= limit);
    }
}

TEST_CASE("a refusal at the connection limit pauses further attempts", "[pool]")
{
    connection_demand demand{.limit = 20, .daemons = 4, .open = 1, .waiting = 3, .refused_at = start};
    CHECK_FALSE(may_open(demand, start + 100ms));
    CHECK(may_open(demand, start + 1s));
}

TEST_CASE("a latency estimate follows answers and decays without them", "[pool]")
{
    latency_estimate estimate;
    CHECK(estimate.at(start, 20ms) == 20ms);
    for (int i = 0; i < 20; ++i) {
        estimate.answered(200ms, start + 50ms * i);
    }
    CHECK(estimate.at(start + 1s, 20ms) > 150ms);
    CHECK(estimate.at(start + 20s, 20ms) < 30ms); // Tried again after a while.
}

TEST_CASE("a draining member gets no new statements after its bound", "[pool]")
{
    pool_fixture fixture;
    const std::map<std::string, member_registration> leaving{
        {"m", member_registration{{.id = "m", .service = "s", .address = "127.0.0.1:1", .draining = true}}}};
    fixture.pool->configure(leaving, {{"s", {.limit = 10}}}, start);
    CHECK(fixture.pool->accepts_statements("m", start + 4s));
    CHECK_FALSE(fixture.pool->accepts_statements("m", start + 6s));
}

TEST_CASE("a member that is draining when it is first seen gets no new statements", "[pool]")
{
    // Guards against a daemon that starts while a member drains, and counts the bound from its own start.
    pool_fixture fixture;
    const std::map<std::string, member_registration> entries{
        {"late", member_registration{{.id = "late", .service = "s", .address = "127.0.0.1:2", .draining = true}}}};
    fixture.pool->configure(entries, {{"s", {.limit = 10}}}, start);
    CHECK_FALSE(fixture.pool->accepts_statements("late", start));
}

TEST_CASE("a daemon that is not a holder keeps no idle connections and does not retry", "[pool]")
{
    // Guards against using up a member's limit with unused connections: after a power loss every daemon kept one, and
    // the holders of the service's connections got none.
    pool_fixture fixture;
    const std::map<std::string, member_registration> entries{
        {"m", member_registration{{.id = "m", .service = "s", .address = "127.0.0.1:1"}}}};
    fixture.open_last(start);
    fixture.pool->configure(entries, {{"s", {.limit = 10, .holders = 3, .is_holder = false}}}, start);
    fixture.pool->tick(start + 1500ms);
    CHECK(fixture.count<close_member_connection>() == 1);

    fixture.pool->open_if_none_idle("m", {}, 1, start + 2s);
    REQUIRE(fixture.count<open_member_connection>() == 2);
    const connection_number refused = std::get<open_member_connection>(fixture.commands.back())->connection;
    fixture.pool->handle(
        member_connection_closed{{.connection = refused,
                                  .end = connection_end_reason::rejected,
                                  .failure = error{{.kind = error_kind::too_many_connections, .detail = "full"}}}},
        start + 2s);
    for (int second = 3; second < 10; ++second) {
        fixture.pool->tick(start + second * 1s);
    }
    CHECK(fixture.count<open_member_connection>() == 2);
}

TEST_CASE("refusals do not make a member look fast", "[pool]")
{
    // Guards against sending more statements to a member because it refuses them quickly.
    pool_fixture fixture;
    fixture.open_last(start);
    instant now = start;
    const auto ask = [&](duration latency, std::optional<error_kind> refusal) {
        const connection_number connection = fixture.pool->acquire("m", {}, now);
        REQUIRE(connection != 0);
        fixture.pool->send(
            connection, member_query{{.request_id = "q", .body = forwarded_statement{{.text = "READ x"}}}},
            exchange{.sent_at = now, .counts_as_load = true, .ended = [](const exchange_outcome&, instant) {
                     }});
        now += latency;
        fixture.pool->handle(
            member_reply{{.connection = connection,
                          .failure = refusal ? std::optional(error{{.kind = *refusal}}) : std::nullopt}},
            now);
        fixture.pool->release(connection, now);
    };
    for (int i = 0; i < 20; ++i) {
        ask(40ms, std::nullopt);
    }
    const duration measured = fixture.pool->member("m")->latency.at(now, 20ms);
    for (int i = 0; i < 20; ++i) {
        ask(1ms, error_kind::replica_behind);
    }
    CHECK(fixture.pool->member("m")->latency.at(now, 20ms) >= measured * 9 / 10);
    for (int i = 0; i < 20; ++i) {
        ask(1ms, error_kind::overloaded);
    }
    CHECK(fixture.pool->member("m")->latency.at(now, 20ms) > measured);
}
