#include "support/fault_schedule.h"

#include <iostream>

#include <catch2/catch.hpp>

using namespace citronfall;
using namespace citronfall::testing;

TEST_CASE("each fault and each pair of faults causes no violation", "[fault_table]")
{
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    constexpr std::uint64_t seeds = 1;
#else
    constexpr std::uint64_t seeds = 4;
#endif
    const auto& all = fault::all();
    std::size_t runs = 0;
    for (std::size_t first = 0; first < all.size(); ++first) {
        for (std::size_t second = first; second < all.size(); ++second) {
            std::vector<fault> faults{all[first]};
            if (second != first) {
                faults.push_back(all[second]);
            }
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                ++runs;
                for (const std::string& each : fault_schedule::run(seed, faults).violations) {
                    FAIL_CHECK(faults.front().name << " + " << faults.back().name << ", seed " << seed << ": " << each);
                }
            }
        }
    }
    std::cout << "fault table: " << all.size() << " faults alone and in pairs, seeds 1 to " << seeds << ", " << runs
              << " runs\n";
}
