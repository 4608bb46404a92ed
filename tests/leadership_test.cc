#include "leader/leadership_view.h"
#include "leader/position_history.h"
#include "leader/replica_lag_estimate.h"

#include <catch2/catch.hpp>

#include <random>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

const instant start{std::chrono::seconds(1000)};

log_position at(term_number term, log_index index)
{
    return log_position{{.term = term, .index = index}};
}

position_observation observed(duration later, log_position position)
{
    return position_observation{{.sent_at = start + later, .position = position}};
}

} // namespace

TEST_CASE("the position history returns the lowest position since an instant", "[evidence]")
{
    position_history log;
    log.add(observed(0ms, at(1, 10)));
    log.add(observed(100ms, at(1, 20)));
    log.add(observed(200ms, at(1, 30)));
    CHECK((*log.lowest_since(start))->position == at(1, 10));
    CHECK((*log.lowest_since(start + 1ms))->position == at(1, 20));
    CHECK_FALSE(log.lowest_since(start + 201ms));
}

TEST_CASE("a position from the history includes every commit that a read on the primary would see", "[evidence]")
{
    // Compares with the log of acknowledged commits: each commit acknowledged before the requested instant is at or
    // below the returned position, in whatever order the observations arrive.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        position_history log;
        std::vector<std::pair<instant, log_index>> acknowledged; // Ordered by time.
        std::vector<position_observation> pending;
        log_index index = 0;
        for (int i = 0; i < 300; ++i) {
            const instant now = start + 5ms * i;
            if (random() % 3 == 0) {
                acknowledged.emplace_back(now, ++index);
            }
            if (random() % 4 == 0) {
                // Sent now and processed slightly later, so the position may include later commits.
                pending.push_back(position_observation{{.sent_at = now, .position = at(1, index + random() % 2)}});
            }
            if (pending.size() > 3) {
                const std::size_t which = random() % pending.size();
                log.add(pending[which]);
                pending.erase(pending.begin() + static_cast<std::ptrdiff_t>(which));
            }
            const instant wanted = now - std::chrono::milliseconds(random() % 500);
            const auto min_position = log.lowest_since(wanted);
            for (const auto& [when, number] : acknowledged) {
                if (min_position && when < wanted) {
                    REQUIRE((*min_position)->position->index >= number);
                }
            }
        }
    }
}

TEST_CASE("the proof that was sent last determines the leader, not the answer that arrives last", "[evidence]")
{
    struct row {
        const char* what;
        duration sent;
        const char* member;
        const char* expected;
    };
    // In each case b has proved its leadership with a statement sent at 100 ms.
    const row rows[] = {
        {"an older proof of the previous leader arrives late", 50ms, "a", "b"},
        {"a newer proof of another member", 150ms, "c", "c"},
        {"a newer proof of the same member", 150ms, "b", "b"},
    };
    for (const row& each : rows) {
        INFO(each.what);
        leadership_view leadership;
        leadership.proved("a", 1, start);
        leadership.proved("b", 2, start + 100ms);
        leadership.proved(each.member, 2, start + each.sent);
        CHECK(leadership.leader() == std::string(each.expected));
    }
}

TEST_CASE("a proof sent before the loss of a leader does not restore it", "[evidence]")
{
    // The answer may have been in flight when the connection was lost.
    leadership_view leadership;
    leadership.proved("a", 1, start);
    CHECK(leadership.lost("a", start + 100ms));
    CHECK_FALSE(leadership.proved("a", 1, start + 50ms));
    CHECK_FALSE(leadership.leader());
    CHECK(leadership.proved("a", 1, start + 150ms));
    CHECK(leadership.leader() == std::string("a"));
}

TEST_CASE("the loss of a member that is not the leader has no effect", "[evidence]")
{
    leadership_view leadership;
    leadership.proved("a", 1, start);
    CHECK_FALSE(leadership.lost("b", start));
    CHECK(leadership.leader() == std::string("a"));
}

TEST_CASE("a lagging replica is not expected to have recent positions", "[evidence]")
{
    position_history log;
    replica_lag_estimate replica;
    log.add(observed(0ms, at(1, 10)));
    log.add(observed(100ms, at(1, 20)));
    // At 600 ms the replica lacks what the primary had at 100 ms, so it lags by at least 500 ms.
    replica.answered(at(1, 10), log, start + 600ms);
    CHECK_FALSE(
        replica.likely_holds(min_read_position{{.position = at(1, 20), .known_since = start + 300ms}}, start + 700ms));
    CHECK(
        replica.likely_holds(min_read_position{{.position = at(1, 20), .known_since = start + 100ms}}, start + 700ms));
    CHECK(
        replica.likely_holds(min_read_position{{.position = at(1, 10), .known_since = start + 690ms}}, start + 700ms));
}

TEST_CASE("a replica that has the newest known position does not lag", "[evidence]")
{
    // Otherwise, replicas of an idle service would appear to lag by the time since the last write.
    position_history log;
    replica_lag_estimate replica;
    log.add(observed(0ms, at(1, 10)));
    replica.answered(at(1, 10), log, start + 10s);
    CHECK(replica.lag() == 0ms);
}

TEST_CASE("a lag estimate without recent confirmation is ignored", "[evidence]")
{
    position_history log;
    replica_lag_estimate replica;
    replica.refused(min_read_position{{.position = at(1, 5), .known_since = start}}, start + 2s);
    const min_read_position young{{.position = at(1, 6), .known_since = start + 2s}};
    CHECK_FALSE(replica.likely_holds(young, start + 2100ms));
    CHECK(replica.likely_holds(young, start + 4s));
}

TEST_CASE("one read at a time finds out whether a lagging replica has caught up", "[evidence]")
{
    // Load: hundreds of reads a second while a replica is seconds behind. Guards against sending it all reads that
    // arrive until the first of them is refused.
    replica_lag_estimate replica;
    replica.refused(min_read_position{{.position = at(1, 5), .known_since = start}}, start + 1500ms);
    const min_read_position young{{.position = at(1, 6), .known_since = start + 2s}};
    REQUIRE(replica.likely_holds(young, start + 3s));
    replica.tried(start + 3s);
    CHECK_FALSE(replica.likely_holds(young, start + 3s));
    CHECK(replica.likely_holds(young, start + 5s));
    // An answer ends the suspicion at once, for what its position covers.
    position_history log;
    log.add(observed(0ms, at(1, 8)));
    replica.answered(at(1, 8), log, start + 3010ms);
    CHECK(replica.likely_holds(young, start + 3010ms));
}
