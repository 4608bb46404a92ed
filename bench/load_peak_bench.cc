// Goodput and latency after the load rises to ten times the capacity within 2 s, compared with a naive proxy.

#include "load/load_simulation.h"

#include <cstdio>

using namespace citronfall;
using namespace citronfall::load;
using namespace std::chrono_literals;

namespace {

/// Load of half the capacity for 2 s, a rise to ten times the capacity within 2 s, and 6 s at that level.
double load_peak(duration since)
{
    const double seconds = std::chrono::duration<double>(since).count();
    return seconds < 2 ? 0.5 : seconds < 4 ? 0.5 + (seconds - 2) / 2 * 9.5 : 10;
}

} // namespace

int main()
{
    std::printf("%-6s %-6s %4s | %8s | %10s %10s %10s\n", "size", "proxy", "seed", "goodput", "booking99", "roster99",
                "late");
    for (const auto& [connections, connect_time] : {std::pair(20U, 10ms), std::pair(35U, 30ms)}) {
        for (const bool naive : {true, false}) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                const load_simulation_options options{
                    .seed = seed,
                    .naive = naive,
                    .connections = connections,
                    .connect_time = connect_time,
                    .classes = {{.name = "booking", .share = 5, .deadline = 2s, .weight = 4},
                                {.name = "roster", .share = 4, .deadline = 1s, .weight = 3},
                                {.name = "report",
                                 .share = 1,
                                 .service = 400ms,
                                 .deadline = 30s,
                                 .weight = 1,
                                 .declared_long = true}},
                    .demand = load_peak,
                    .length = 10s,
                    .measure_from = 4s};
                auto results = simulate_load(options);
                const auto p99 = [&](const char* name) {
                    return std::chrono::duration<double, std::milli>(results[name].latency.quantile(0.99)).count();
                };
                const std::uint64_t late = results["booking"].late + results["roster"].late;
                std::printf("%-6u %-6s %4lu | %7.1f%% | %8.0fms %8.0fms %10lu\n", connections, naive ? "naive" : "ours",
                            seed, 100 * goodput(results, 3, 6s), p99("booking"), p99("roster"), late);
            }
        }
    }
    return 0;
}
