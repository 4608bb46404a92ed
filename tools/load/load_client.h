#pragma once

#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "metrics/latency_histogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronfall::load {

/// One class of requests that a load client sends.
struct load_client_class {
    std::string tenant;
    std::string name;
    double share = 1;                ///< Relative number of requests.
    std::string statement = "get k"; ///< `book` and `set` are sent as writes; `#` is replaced by the request number.
};

/// Settings of a load client.
struct load_client_options {
    std::vector<std::string> targets; ///< "ip:port" of daemons, or of a member if `direct` is set.
    bool direct = false;              ///< Sends the database protocol to a member.
    std::string group;
    std::vector<load_client_class> classes;
    std::uint64_t seed = 1;
    double rate = 100;    ///< Requests per second before and after the load peak.
    double factor = 1;    ///< Factor by which the rate is multiplied during the peak.
    duration peak_from{}; ///< Start of the peak; the rate rises linearly within `peak_rise`.
    duration peak_rise = std::chrono::seconds(2);
    duration peak_until{};
    duration length = std::chrono::seconds(5);
    duration deadline = std::chrono::seconds(2);
    std::size_t connections = 256;        ///< Limit on the connections to all targets together.
    std::uint64_t max_requests = 200'000; ///< Limit on the number of requests.
};

/// Results of the requests of one class.
struct load_client_result {
    std::uint64_t sent = 0;
    std::uint64_t done = 0;
    std::uint64_t refused = 0; ///< Requests answered as not run.
    std::uint64_t other = 0;   ///< Unknown outcomes, failures, and requests without an answer.
    latency_histogram latency; ///< Of done requests, from the time at which each should have been sent.
};

/// Open-loop load client: sends requests at times that only the seed determines, so that a slow answer delays no later
/// request. Blocks until all requests are answered, or until the deadline of the last one has passed. Returns the
/// results by class. Error (bad_request): a target is not a loopback address.
[[nodiscard]] result<std::map<std::string, load_client_result>> run_load_client(const load_client_options& options);

} // namespace citronfall::load
