#include "soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace citronfall::soak {
namespace {

/// Kinds of plan_kind::faults; further ones come after them, so that the plans of a seed stay what they were.
constexpr std::size_t kind_count = 12;
constexpr std::array<const char*, kind_count + 1> names = {
    "kill_daemon", "stop_daemon",  "pause_daemon", "hang_up_daemon", "store",     "store_history", "store_link",
    "member_link", "crash_member", "drain_member", "replica_lag",    "configure", "late_orders"};

/// Mean time between the starts of faults. Most faults last longer, so they overlap.
constexpr std::int64_t mean_gap_ms = 600;
constexpr std::int64_t shortest_ms = 100;
constexpr std::int64_t longest_ms = 4000;

/// One in this many faults is a series: it is repeated on successive targets, as in a rolling restart.
constexpr unsigned series_odds = 5;
constexpr std::size_t longest_series = 3;

using std::chrono::milliseconds;

/// Generates series of planned work that overlap, in one of several densities.
class planned_work_plan {
public:
    explicit planned_work_plan(const fault_plan_options& options) : options_(options), random_(options.seed) {}

    std::vector<planned_fault> run()
    {
        constexpr std::array<std::uint64_t, 3> longest_gaps_ms = {1500, 4000, 10'000};
        const std::uint64_t longest_gap_ms = longest_gaps_ms.at(below(longest_gaps_ms.size()));
        for (duration at{}; at < options_.length; at += milliseconds(below(longest_gap_ms))) {
            add_series(at);
        }
        std::sort(plan_.begin(), plan_.end());
        return std::move(plan_);
    }

private:
    std::uint64_t below(std::uint64_t bound) { return random_() % bound; }

    /// Adds work on successive daemons, several at once, with a short time between the groups.
    void add_series(duration at)
    {
        constexpr std::uint64_t shortest_interval_ms = 20;
        constexpr std::uint64_t longest_interval_ms = 1200;
        const fault_kind kind = choose_kind();
        const std::size_t first = below(options_.daemons);
        const std::size_t count =
            kind == fault_kind::configure ? 1 + below(longest_series) : 1 + below(options_.daemons);
        const std::size_t at_once = 1 + below(1 + options_.daemons / 4);
        const milliseconds interval(shortest_interval_ms + below(longest_interval_ms));
        for (std::size_t i = 0; i < count; ++i) {
            const duration group_at = at + interval * static_cast<std::int64_t>(i / at_once);
            if (group_at < options_.length) {
                plan_.push_back({.at = group_at, .kind = kind, .target = (first + i) % options_.daemons});
            }
        }
    }

    fault_kind choose_kind()
    {
        constexpr std::array<fault_kind, 5> kinds = {fault_kind::stop_daemon, fault_kind::stop_daemon,
                                                     fault_kind::stop_daemon, fault_kind::hang_up_daemon,
                                                     fault_kind::configure};
        return kinds.at(below(kinds.size()));
    }

    const fault_plan_options& options_;
    std::mt19937_64 random_;
    std::vector<planned_fault> plan_;
};

} // namespace

bool is_planned_work(fault_kind kind)
{
    return kind == fault_kind::stop_daemon || kind == fault_kind::hang_up_daemon || kind == fault_kind::configure;
}

const char* fault_kind_name(fault_kind kind)
{
    return names.at(static_cast<std::size_t>(kind));
}

std::vector<planned_fault> make_fault_plan(const fault_plan_options& options)
{
    if (options.kind == plan_kind::planned_work) {
        return planned_work_plan(options).run();
    }
    std::mt19937_64 random(options.seed);
    const auto below = [&random](std::uint64_t bound) {
        return random() % bound;
    };
    const auto length_ms = std::chrono::duration_cast<std::chrono::milliseconds>(options.length).count();
    std::vector<planned_fault> plan;
    std::int64_t at = 0;
    while (true) {
        at += static_cast<std::int64_t>(below(2 * mean_gap_ms));
        // One in five is a window of late orders, since it takes other faults in it to cause a change of primary.
        const bool late = options.kind == plan_kind::late_orders && below(5) == 0;
        const auto kind = late ? fault_kind::late_orders : static_cast<fault_kind>(below(kind_count));
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
