// Head-of-line blocking: p99 of short requests with and without long requests, compared with a naive proxy.

#include "load/load_simulation.h"

#include <cstdio>

using namespace citronfall;
using namespace citronfall::load;
using namespace std::chrono_literals;

namespace {

struct user_size {
    std::uint32_t connections;
    duration connect_time;
    duration member_one_way_delay; ///< One way.
    duration caller_one_way_delay; ///< One way.
};

constexpr user_size sizes[] = {{20, 10ms, 1000us, 3000us}, {35, 30ms, 1500us, 1000us}};

/// p99 of the short class in milliseconds. The long class offers a load of one slot.
double short_p99(bool naive, bool long_ones, bool declared, double load, const user_size& size, std::uint32_t slots = 3)
{
    constexpr double long_load = 1.0 / 3;
    load_simulation_options options{
        .naive = naive,
        .connections = size.connections,
        .slots = slots,
        .connect_time = size.connect_time,
        .member_one_way_delay = size.member_one_way_delay,
        .classes = {{.name = "short", .share = load, .deadline = 2s, .weight = 4}},
        .demand = [&](duration) { return (load + (long_ones ? long_load : 0)) * 3 / slots; },
        .length = 40s,
        .measure_from = 10s};
    if (long_ones) {
        options.classes.push_back({.name = "long",
                                   .share = long_load,
                                   .service = 400ms,
                                   .deadline = 30s,
                                   .weight = 1,
                                   .declared_long = declared});
    }
    auto results = simulate_load(options);
    return std::chrono::duration<double, std::milli>(results["short"].latency.quantile(0.99) +
                                                     2 * size.caller_one_way_delay)
        .count();
}

} // namespace

int main()
{
    // The floor is the p99 of short requests without long ones on a member with one slot fewer.
    std::printf("seed 1, p99 at the caller\n%-5s %-6s %-10s %5s | %9s %9s %6s | %9s\n", "size", "proxy", "long class",
                "load", "without", "with", "ratio", "floor");
    for (const user_size& size : sizes) {
        for (const double load : {0.2, 0.4, 0.5}) {
            for (const auto& [naive, declared] : {std::pair(true, false), {false, true}, {false, false}}) {
                const double without = short_p99(naive, false, declared, load, size);
                const double with = short_p99(naive, true, declared, load, size);
                const double floor = short_p99(naive, false, declared, load, size, 2);
                std::printf("%-5u %-6s %-10s %4.0f%% | %7.2fms %7.2fms %6.2f | %7.2fms\n", size.connections,
                            naive ? "naive" : "ours", naive ? "-" : (declared ? "declared" : "measured"), 100 * load,
                            without, with, with / without, floor);
            }
        }
    }
    return 0;
}
