#pragma once

#include "citronfall/instant.h"
#include "citronfall/operator_config.h"
#include "metrics/latency_histogram.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronfall::load {

/// One class of requests in a virtual run.
struct load_class {
    std::string name;
    double share = 1;                                ///< Of the offered running time.
    duration service = std::chrono::milliseconds(2); ///< Mean; each request takes half to one and a half of it.
    duration deadline = std::chrono::seconds(1);
    std::uint32_t weight = 1;
    bool declared_long = false;
};

/// Settings of a virtual run: one proxy, one member.
struct load_run_options {
    std::uint64_t seed = 1;
    bool naive = false; ///< First come, first served, over all connections, without classes, bounds or refusals.
    std::uint32_t connections = 20;
    std::uint32_t slots = 3;
    duration open_time = std::chrono::milliseconds(10);
    duration member_trip = std::chrono::milliseconds(1); ///< One way between proxy and member.
    std::vector<load_class> classes;
    std::function<double(duration since_start)> demand; ///< Offered running time as a multiple of the capacity.
    duration length = std::chrono::seconds(10);
    duration measure_from{}; ///< Requests that arrive earlier warm up the run and are not counted.
};

/// What happened to the requests of one class.
struct load_result {
    std::uint64_t offered = 0;
    std::uint64_t in_time = 0; ///< Answered before the deadline.
    std::uint64_t refused = 0;
    std::uint64_t late = 0;    ///< Admitted and not answered before the deadline.
    duration served{};         ///< Running time of what was answered in time while the run was measured.
    latency_histogram latency; ///< Of admitted requests, from arrival; late ones count until their end.
};

/// Runs open-loop Poisson arrivals through the admission code, or its naive counterpart, in virtual time. Deterministic
/// by seed.
[[nodiscard]] std::map<std::string, load_result> run_load(const load_run_options& options);

/// Running time answered in time as a part of the capacity over `length`.
[[nodiscard]] double goodput(const std::map<std::string, load_result>& results, std::uint32_t slots, duration length);

} // namespace citronfall::load
