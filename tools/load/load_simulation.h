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

/// A class of requests in a simulation.
struct load_class {
    std::string name;
    double share = 1; ///< Relative part of the offered load, in running time.
    duration service =
        std::chrono::milliseconds(2); ///< Mean running time; that of a request is uniform between 0.5 and 1.5 of it.
    duration deadline = std::chrono::seconds(1);
    std::uint32_t weight = 1;
    bool declared_long = false;
};

/// Settings of a simulation of one proxy and one member.
struct load_simulation_options {
    std::uint64_t seed = 1;
    bool naive = false; ///< FIFO over all connections, without classes, limits or refusals.
    std::uint32_t connections = 20;
    std::uint32_t slots = 3;
    duration connect_time = std::chrono::milliseconds(10);
    duration member_one_way_delay = std::chrono::milliseconds(1); ///< One-way network delay between proxy and member.
    std::vector<load_class> classes;
    std::function<double(duration since_start)> demand; ///< Offered load as a multiple of the capacity.
    duration length = std::chrono::seconds(10);
    duration measure_from{}; ///< Earlier requests are warm-up and are not counted.
};

/// Results of the requests of one class.
struct load_simulation_result {
    std::uint64_t offered = 0;
    std::uint64_t in_time = 0; ///< Answered before the deadline.
    std::uint64_t refused = 0;
    std::uint64_t late = 0;    ///< Admitted, but not answered before the deadline.
    duration served{};         ///< Running time of requests answered in time during the measurement.
    latency_histogram latency; ///< Of admitted requests, from arrival to answer or deadline.
};

/// Simulates open-loop Poisson arrivals in virtual time, handled by the admission code or by a naive proxy.
/// Deterministic for the same seed.
[[nodiscard]] std::map<std::string, load_simulation_result> simulate_load(const load_simulation_options& options);

/// Goodput: the running time of requests answered in time, as a fraction of the capacity over `length`.
[[nodiscard]] double goodput(const std::map<std::string, load_simulation_result>& results, std::uint32_t slots,
                             duration length);

} // namespace citronfall::load
