#include "soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace citronfall::soak {
namespace {

constexpr std::size_t kind_count = 12;
constexpr std::array<const char*, kind_count> names = {
    "kill_daemon", "stop_daemon", "pause_daemon", "hang_up_daemon", "store",       "store_history",
    "store_link",  "member_link", "crash_member", "drain_member",   "replica_lag", "configure"};

/// Mean time between the starts of faults. Most faults last longer, so they overlap.
constexpr std::int64_t mean_gap_ms = 600;
constexpr std::int64_t shortest_ms = 100;
constexpr std::int64_t longest_ms = 4000;

/// One in this many faults is a series: it is repeated on successive targets, as in a rolling restart.
constexpr unsigned series_odds = 5;
constexpr std::size_t longest_series = 3;

} // namespace

const char* fault_kind_name(fault_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<planned_fault> make_fault_plan(const fault_plan_options& options)
{
    std::mt19937_64 random(options.seed);
    const auto below = [&random](std::uint64_t bound) {
        return random() % bound;
    };
    const auto length_ms = std::chrono::duration_cast<std::chrono::milliseconds>(options.length).count();
    std::vector<planned_fault> plan;
    std::int64_t at = 0;
    while (true) {
        at += static_cast<std::int64_t>(below(2 * mean_gap_ms));
        const auto kind = static_cast<fault_kind>(below(kind_count));
        const std::size_t repeats = below(series_odds) == 0 ? longest_series : 1;
        const std::size_t first = below(options.daemons * options.members);
        const auto span = shortest_ms + static_cast<std::int64_t>(below(longest_ms - shortest_ms));
        const std::size_t variant = below(kind_count);
        for (std::size_t i = 0; i < repeats; ++i) {
            if (at + span >= length_ms) {
                return plan;
            }
            plan.push_back({.at = std::chrono::milliseconds(at),
                            .length = std::chrono::milliseconds(span),
                            .kind = kind,
                            .target = first + i,
                            .variant = variant});
            at += i + 1 < repeats ? span / 2 : 0;
        }
    }
}

std::string describe(const planned_fault& fault)
{
    const auto ms = [](duration value) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
    };
    return "at_ms=" + ms(fault.at) + " length_ms=" + ms(fault.length) + " kind=" + fault_kind_name(fault.kind) +
           " target=" + std::to_string(fault.target) + " variant=" + std::to_string(fault.variant);
}

} // namespace citronfall::soak
