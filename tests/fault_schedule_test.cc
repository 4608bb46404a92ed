#include "support/fault_schedule.h"

#include <cstdlib>
#include <iostream>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;
using namespace citronfall::testing;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t seeds = 150; // Sanitizers make a run about ten times slower.
#else
constexpr std::uint64_t seeds = 1'000;
#endif

} // namespace

TEST_CASE("under seeded schedules of faults no rule is violated, and the deployment recovers", "[schedule]")
{
    // If CITRONFALL_SEED is set, runs only the schedule with this seed and prints its log.
    const char* one = std::getenv("CITRONFALL_SEED");
    const std::uint64_t first = one != nullptr ? std::strtoull(one, nullptr, 10) : 1;
    const std::uint64_t last = one != nullptr ? first : seeds;
    std::size_t operations = 0;
    std::size_t confirmed = 0;
    std::size_t committed = 0;
    std::size_t changes = 0;
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        const auto run_result = fault_schedule::run(seed, fault_schedule::draw_faults(seed));
        operations += run_result.operations;
        confirmed += run_result.confirmed;
        committed += run_result.committed;
        changes += run_result.changes;
        for (const std::string& each : run_result.violations) {
            FAIL_CHECK("seed " << seed << ": " << each);
        }
        if (one != nullptr) {
            for (const std::string& line : run_result.log) {
                std::cout << line << '\n';
            }
        }
    }
    std::cout << "schedules: seeds " << first << " to " << last << ", operations " << operations << ", confirmed "
              << confirmed << ", committed transactions " << committed << ", changes of primary " << changes << '\n';
    CHECK((one != nullptr || changes > seeds / 10));
}

// Guards against a restarted daemon that gets no connection to a member, because the share of its earlier run has not
// been reclaimed yet. Listed in KNOWN-RED.txt.
TEST_CASE("daemons that share scarce connections recover", "[.known_red]")
{
    constexpr std::uint32_t scarce = 12; // Four connections for each of three daemons.
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        for (const std::string& each :
             fault_schedule::run(seed, fault_schedule::draw_faults(seed), {}, scarce).violations) {
            FAIL_CHECK("seed " << seed << ": " << each);
        }
    }
}
