#include "metrics/latency_histogram.h"
#include "metrics/metrics_registry.h"
#include "metrics/metrics_text.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

TEST_CASE("quantiles are within 5% of those of the sorted durations", "[metrics]")
{
    // Guards against off-by-one bucket bounds and against quantiles that are rounded down.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937_64 random(seed);
        std::lognormal_distribution<double> lengths(8, 2);
        latency_histogram histogram;
        std::vector<duration> sorted;
        for (int i = 0; i < 2000; ++i) {
            const duration length(static_cast<duration::rep>(std::min(lengths(random) + 1, 9e7)));
            histogram.record(length);
            sorted.push_back(length);
        }
        std::sort(sorted.begin(), sorted.end());
        for (const double part : {0.5, 0.9, 0.99, 1.0}) {
            const auto rank = static_cast<std::size_t>(std::ceil(part * 2000)) - 1;
            const auto exact = static_cast<double>(sorted[rank].count());
            const auto found = static_cast<double>(histogram.quantile(part).count());
            CHECK(found >= exact);
            CHECK(found <= exact * 1.05 + 1);
        }
        CHECK(histogram.max() == sorted.back());
    }
}

TEST_CASE("durations outside the range count in the outermost buckets", "[metrics]")
{
    latency_histogram histogram;
    CHECK(histogram.quantile(0.99) == duration{0});
    histogram.record(duration{0});
    histogram.record(duration{-5});
    histogram.record(1000s);
    CHECK(histogram.count() == 3);
    CHECK(histogram.quantile(0.5) <= duration{2});
    CHECK(histogram.max() == 1000s);
}

TEST_CASE("counters and histograms appear in the report by name, tenant and class", "[metrics]")
{
    metrics_registry table;
    table.count("requests_received_total");
    table.count("requests_received_total", 2);
    table.record("request_seconds", "kapot", "booking", 3ms);
    table.record("request_seconds", "kapot", "roster", 5ms);
    CHECK(table.counter("requests_received_total") == 3);
    CHECK(table.counter("never_counted_total") == 0);
    const std::string text = metrics_text(table.report(1));
    for (const char* part : {"requests_received_total 3", "booking", "roster", "kapot"}) {
        INFO(part);
        CHECK(text.find(part) != std::string::npos);
    }
}
