// Load on members with few slots, played against real gateway engines in virtual time.

#include "support/gateway_simulation.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

/// What callers got.
struct load_result {
    std::size_t asked = 0;
    std::size_t served = 0;
    std::size_t in_target = 0;         ///< Served within the target latency of the route.
    std::size_t refused = 0;           ///< Reported as not run.
    std::size_t current_asked = 0;     ///< Reads that only the leader can serve.
    std::size_t current_in_target = 0; ///< Of these, served within the target latency.
    std::size_t turned_away = 0;       ///< Attempts that members refused.
    double share(std::size_t part) const { return static_cast<double>(part) / static_cast<double>(asked); }
};

/// Callers of all daemons: current reads, reads of stated age, reads of a session's own writes, and writes.
class load_player {
public:
    load_player(gateway_simulation& simulation, std::uint64_t seed) : simulation_(simulation), random_state_(seed) {}

    /// Sends `per_second` statements on average for a time, and waits for their answers.
    load_result play(double per_second, duration length)
    {
        const std::size_t turned_away_before = simulation_.refused_by_members();
        load_result result;
        const instant end = simulation_.now() + length;
        while (simulation_.now() < end) {
            for (std::size_t daemon = 0; daemon < simulation_.daemons(); ++daemon) {
                if (random() < per_second / 1000 / static_cast<double>(simulation_.daemons())) {
                    send(daemon);
                    ++result.asked;
                }
            }
            simulation_.run(1ms);
            collect(result);
        }
        for (const instant latest = simulation_.now() + 2s; !pending_.empty() && simulation_.now() < latest;) {
            simulation_.run(1ms);
            collect(result);
        }
        result.turned_away = simulation_.refused_by_members() - turned_away_before;
        return result;
    }

private:
    using session_id = std::pair<std::size_t, session_number>; ///< Daemon and its session.

    struct pending_statement {
        instant sent_at{};
        std::size_t replies_before = 0;
        std::string database;
    };

    void send(std::size_t daemon)
    {
        const double kind = random();
        const std::string database = kind < 0.15 ? "fresh" : (kind < 0.35 ? "aged" : "own");
        const bool writes = database == "own" && random() < 0.15;
        std::vector<session_number>& free = free_[{daemon, database}];
        if (free.empty()) {
            free.push_back(simulation_.open(daemon, database));
        }
        const session_number session = free.back();
        free.pop_back();
        pending_[{daemon, session}] = {.sent_at = simulation_.now(),
                                       .replies_before = simulation_.replies(daemon, session).size(),
                                       .database = database};
        simulation_.send(daemon, session, writes ? "WRITE x" : "READ x");
    }

    void collect(load_result& result)
    {
        std::erase_if(pending_, [&](const auto& each) {
            const auto& [daemon, session] = each.first;
            const auto& replies = simulation_.replies(daemon, session);
            if (replies.size() == each.second.replies_before) {
                return false;
            }
            result.current_asked += each.second.database == "fresh" ? 1 : 0;
            const auto* answer = std::get_if<statement_reply>(&replies[each.second.replies_before].reply);
            if (answer != nullptr && !(*answer)->failure) {
                ++result.served;
                const bool in_target = simulation_.now() - each.second.sent_at <= 250ms;
                result.in_target += in_target ? 1 : 0;
                result.current_in_target += in_target && each.second.database == "fresh" ? 1 : 0;
            } else if (answer != nullptr && (*(*answer)->failure)->kind == error_kind::overloaded) {
                ++result.refused;
            }
            free_[{daemon, each.second.database}].push_back(session);
            return true;
        });
    }

    double random()
    {
        random_state_ = random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
        return static_cast<double>(random_state_ >> 33U) / static_cast<double>(1ULL << 31U);
    }

    gateway_simulation& simulation_;
    std::uint64_t random_state_;
    std::map<std::pair<std::size_t, std::string>, std::vector<session_number>> free_;
    std::map<session_id, pending_statement> pending_;
};

/// Three members with four slots each, shared by seven daemons that do not know what the others have sent.
gateway_simulation::options shared_members(std::uint64_t seed)
{
    return {.daemons = 7, .max_connections = 46, .seed = seed, .slots = 4, .work = 15ms};
}

/// Statements a second that keep a share of all slots busy.
double load_of(double share)
{
    return share * 12 / 0.015;
}

void report(const load_result& result)
{
    UNSCOPED_INFO("asked " << result.asked << " served " << result.served << " in target " << result.in_target
                           << " refused " << result.refused << " turned away " << result.turned_away << " current "
                           << result.current_in_target << " of " << result.current_asked);
}

} // namespace

TEST_CASE("no caller is refused while members have free slots for the load", "[gateway][load]")
{
    // Guards against refusing statements because the slots of one member are full at a moment, and against estimates
    // that refusals raise until nothing seems worth waiting for.
    for (const double load : {0.4, 0.55}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            gateway_simulation simulation(shared_members(seed));
            load_player callers(simulation, seed);
            const load_result result = callers.play(load_of(load), 5s);
            INFO("seed " << seed << " load " << load);
            report(result);
            CHECK(result.share(result.refused) < 0.002);
            CHECK(result.share(result.in_target) > 0.99);
        }
    }
}

TEST_CASE("while all replicas are behind, the leader's slots are used and none is spent on refusals", "[gateway][load]")
{
    // Load: 5 statements at a time, 4 slots. Guards against reads that go to replicas known to be behind, use up their
    // attempts there and are refused while the leader has free slots; and against reads that crowd out the statements
    // that only the leader can serve.
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        gateway_simulation simulation(shared_members(seed));
        load_player callers(simulation, seed);
        static_cast<void>(callers.play(load_of(0.2), 1s));
        simulation.set_replica_lag(20s);
        static_cast<void>(callers.play(load_of(0.2), 2s));
        const load_result result = callers.play(load_of(0.42), 6s);
        INFO("seed " << seed);
        report(result);
        const double slots_served = 4 / 0.015 * 6;
        CHECK(static_cast<double>(result.served) >= 0.9 * slots_served);
        CHECK(result.share(result.turned_away) < 0.03);
        CHECK(static_cast<double>(result.current_in_target) >= 0.98 * static_cast<double>(result.current_asked));
    }
}

TEST_CASE("replicas that were behind take their part of the reads again", "[gateway][load]")
{
    // Guards against an estimate of the lag, or of the latency, that outlives the lag: reads then crowd on the leader.
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        gateway_simulation simulation(shared_members(seed));
        load_player callers(simulation, seed);
        simulation.set_replica_lag(4s);
        static_cast<void>(callers.play(load_of(0.3), 4s));
        simulation.set_replica_lag(10ms);
        static_cast<void>(callers.play(load_of(0.3), 3s));
        const load_result result = callers.play(load_of(0.4), 4s);
        INFO("seed " << seed);
        report(result);
        CHECK(result.share(result.refused) < 0.002);
        CHECK(result.share(result.in_target) > 0.99);
    }
}
