#include "primary_change/outstanding_promotions.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

/// The promotions of one service, with hooks that record the orders and answer on demand.
class observed_promotions {
public:
    explicit observed_promotions(std::uint32_t sync_replicas)
    {
        auto made = outstanding_promotions::make(
            {.service = "ledger",
             .daemon = "d0",
             .fence = [this](instant) { return token; },
             .raise_fence = [this](instant) { ++raises; },
             .fence_refused = [this](std::uint64_t fence) { refused = fence; },
             .call =
                 [this](const call_body& body, duration) {
                     orders.push_back(std::get<promote_member>(body));
                     return call_number{orders.size()};
                 },
             .state = [this]() -> service_state& { return state; },
             .sync_replicas = [sync_replicas] { return sync_replicas; },
             .paused_since = [this](instant since) { return paused_at && *paused_at >= since; },
             .log =
                 [](const std::string&, const std::string&) {
                 }});
        REQUIRE(ok(made));
        promotions = take(std::move(made));
        lead("primary");
    }

    void lead(const std::string& member)
    {
        state.leadership.proved(member, 1, now);
        state.primary_positions.add(position_observation{{.sent_at = now}});
    }

    /// Advances the time in steps of 20 ms; the leader proves its leadership in each.
    void run(duration length)
    {
        for (const instant end = now + length; now < end; now += 20ms) {
            lead(*state.leadership.leader());
            promotions->observe(now);
            promotions->tick(now);
        }
    }

    void answer(std::size_t order, call_outcome outcome)
    {
        CHECK(promotions->handle(store_answer{{.number = order, .outcome = outcome}}, now));
    }

    instant now{1000s};
    std::optional<std::uint64_t> token = 5;
    unsigned raises = 0;
    std::optional<instant> paused_at; ///< When a replica was last found paused.
    std::optional<std::uint64_t> refused;
    std::vector<promote_member> orders;
    service_state state;
    std::unique_ptr<outstanding_promotions> promotions;
};

} // namespace

TEST_CASE("an order without an answer is open until the platform has seen a higher token", "[orders]")
{
    // Guards against taking the possession of a higher token for proof that a former order is void.
    observed_promotions each(0);
    each.run(100ms);
    CHECK(each.orders.empty());
    each.promotions->order("replica", 5);
    each.answer(1, call_outcome::unanswered);
    each.run(100ms);
    CHECK(each.raises > 0);
    CHECK(each.orders.size() == 1); // Its token could not be raised yet.
    each.token = 8;
    each.run(100ms);
    REQUIRE(each.orders.size() == 2);
    CHECK(each.orders.back()->member == "primary");
    CHECK(each.orders.back()->fence == 8);
    CHECK(each.promotions->open().size() == 2);
    each.answer(2, call_outcome::done);
    CHECK(each.promotions->open().empty());
    each.run(5s);
    CHECK(each.orders.size() == 2);
}

TEST_CASE("an order that shows a token and gets no answer is made void as well", "[orders]")
{
    // Guards against leaving an order for a primary that may be another one when the order is carried out.
    observed_promotions each(0);
    each.promotions->order("replica", 5);
    each.answer(1, call_outcome::unanswered);
    each.token = 8;
    each.run(100ms);
    REQUIRE(each.orders.size() == 2);
    each.answer(2, call_outcome::unanswered);
    CHECK(each.promotions->open().size() == 2);
    each.run(100ms);
    CHECK(each.orders.size() == 2);
    each.token = 9;
    each.run(200ms);
    REQUIRE(each.orders.size() == 3);
    CHECK(each.orders.back()->fence == 9);
    each.answer(3, call_outcome::done);
    CHECK(each.promotions->open().empty());
}

TEST_CASE("an order that the platform has rejected is not open", "[orders]")
{
    observed_promotions each(0);
    for (const call_outcome outcome : {call_outcome::conflict, call_outcome::refused}) {
        each.promotions->order("replica", 5);
        each.answer(each.orders.size(), outcome);
        CHECK(each.promotions->open().empty());
    }
}

TEST_CASE("an order for another member needs a higher token than an open one", "[orders]")
{
    // Guards against two open orders that the platform would both accept, in any order.
    observed_promotions each(1);
    each.run(100ms);
    each.promotions->order("replica", 5);
    CHECK(each.promotions->allows("replica", each.now));
    CHECK_FALSE(each.promotions->allows("other", each.now)); // Also while the order is in flight.
    each.answer(1, call_outcome::unanswered);
    CHECK_FALSE(each.promotions->allows("other", each.now));
    each.token = 8;
    CHECK(each.promotions->allows("other", each.now));
}

TEST_CASE("a new holder of the lock takes earlier orders as outstanding where commits wait for replicas", "[orders]")
{
    // Guards against resuming replication on the strength of a token that the platform has not seen, and against two
    // daemons that order promotions in turn within one lease.
    observed_promotions each(1);
    each.run(2900ms);
    CHECK(each.orders.empty());
    CHECK_FALSE(each.promotions->settled(each.now));
    each.run(300ms);
    REQUIRE(each.orders.size() == 1);
    each.answer(1, call_outcome::done);
    CHECK_FALSE(each.promotions->settled(each.now)); // A promotion accepted just before may still take effect.
    each.run(1600ms);
    CHECK(each.promotions->settled(each.now));
    each.token.reset();
    each.run(100ms);
    CHECK_FALSE(each.promotions->settled(each.now));
    each.token = 9;
    each.run(1s);
    CHECK_FALSE(each.promotions->settled(each.now));
}

TEST_CASE("a new holder of the lock that finds a replica paused makes earlier orders void at once", "[orders]")
{
    // Guards against seconds without writes, and against the time in which a replica that restarts could let the former
    // primary acknowledge what an order of the earlier holder drops.
    observed_promotions each(1);
    each.paused_at = each.now - 1s; // Before the lock was taken, which tells nothing.
    each.run(500ms);
    CHECK(each.orders.empty());
    each.paused_at = each.now;
    each.run(100ms);
    CHECK(each.orders.size() == 1);
}

TEST_CASE("a holder of the lock orders nothing without need where commits do not wait for replicas", "[orders]")
{
    observed_promotions each(0);
    each.run(20s);
    CHECK(each.orders.empty());
    CHECK(each.raises == 0);
}

TEST_CASE("a token that was rejected twice is given up and raised", "[orders]")
{
    // Guards against calls without end with a token that the platform has seen superseded.
    observed_promotions each(1);
    each.run(3200ms);
    REQUIRE(each.orders.size() == 1);
    each.answer(1, call_outcome::conflict);
    CHECK_FALSE(each.refused);
    each.run(300ms);
    REQUIRE(each.orders.size() == 2);
    each.answer(2, call_outcome::conflict);
    CHECK(each.refused == 5);
    CHECK(each.raises == 1);
}

TEST_CASE("a token is shown although no proof of leadership gets through", "[orders]")
{
    // Guards against a service without writes for good: writes that wait for paused replicas take all connections to
    // the primary, so that it is not probed (tests/sync_commits_test.cc, seed 24).
    observed_promotions each(1);
    each.run(2s);
    for (const instant end = each.now + 4s; each.now < end; each.now += 20ms) {
        each.promotions->observe(each.now);
        each.promotions->tick(each.now);
    }
    CHECK(each.orders.size() == 1);
}
