#include "support/gateway_simulation.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

/// Lets callers of all daemons write now and then, and counts the answers.
struct light_load {
    explicit light_load(gateway_simulation& subject) : simulation(subject)
    {
        for (std::size_t i = 0; i < simulation.daemons(); ++i) {
            sessions[i] = simulation.open(i, "own");
        }
    }

    void run(duration length)
    {
        for (const instant end = simulation.now() + length; simulation.now() < end;) {
            for (const auto& [daemon, session] : sessions) {
                if (simulation.unanswered(daemon, session) == 0) {
                    simulation.send(daemon, session, ++count % 4 == 0 ? "WRITE x" : "READ x");
                }
            }
            simulation.run(100ms);
        }
    }

    [[nodiscard]] std::size_t failures()
    {
        std::size_t failed = 0;
        for (const auto& [daemon, session] : sessions) {
            for (const auto& each : simulation.replies(daemon, session)) {
                const auto* reply = std::get_if<statement_reply>(&each.reply);
                failed += reply != nullptr && (*reply)->failure ? 1 : 0;
            }
        }
        return failed;
    }

    gateway_simulation& simulation;
    std::map<std::size_t, session_number> sessions;
    std::size_t count = 0;
};

} // namespace

TEST_CASE("no primary is replaced because links lose packets", "[lossy]")
{
    // A lost packet comes 200 ms late, two in a row 600 ms. Answers that are this late do not show that the member is
    // gone.
    for (const double share : {0.025, 0.04}) {
        INFO("share of lost packets " << share);
        gateway_simulation simulation({.daemons = 7, .max_connections = 22});
        simulation.lose_packets(share);
        light_load load(simulation);
        load.run(30min);
        CHECK(simulation.promotions().empty());
        INFO("statements " << load.count << ", failed " << load.failures());
        CHECK(load.failures() * 100 <= load.count);
    }
}

TEST_CASE("no primary is replaced in a fleet that relays over links that lose packets", "[lossy]")
{
    gateway_simulation simulation({.daemons = 40, .max_connections = 46});
    simulation.lose_packets(0.04);
    light_load load(simulation);
    load.run(5min);
    CHECK(simulation.promotions().empty());
    INFO("statements " << load.count << ", failed " << load.failures());
    CHECK(load.failures() * 100 <= load.count);
}

TEST_CASE("a primary that is gone is replaced within two seconds although links lose packets", "[lossy]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        gateway_simulation simulation({.daemons = 7, .max_connections = 22, .seed = seed});
        simulation.lose_packets(0.04);
        light_load load(simulation);
        load.run(5s);
        const std::string gone = simulation.leader();
        simulation.silence_member(gone);
        const instant lost_at = simulation.now();
        while (simulation.promotions().empty() && simulation.now() - lost_at < 10s) {
            load.run(100ms);
        }
        CHECK(simulation.now() - lost_at <= 2s);
    }
}
