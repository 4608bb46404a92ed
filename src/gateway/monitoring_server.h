#pragma once

#include "citronfall/metrics_report.h"
#include "citronfall/result.h"
#include "deployment/service_configuration.h"
#include "gateway/gateway_report.h"
#include "socket/event_loop.h"

#include <cstddef>
#include <memory>
#include <string>

namespace citronfall {

/// Options of a monitoring server.
struct monitoring_server_options {
    std::string address;            ///< "ip:port" of the readiness probe.
    std::string ready_path;         ///< Answered with 200 while the daemon is ready, otherwise with 503.
    std::string metrics_path;       ///< Answered with the latest metrics on each address.
    std::string report_path;        ///< Answered with the latest report on each address.
    std::string configuration_path; ///< Answered with the configuration in force, without keys, on each address.
    std::string metrics_address;    ///< Second "ip:port" to listen on; empty: none.
    /// Connections at each address; for a further one, the one without a request for longest is closed.
    std::size_t max_connections = 8;
    failure_hook failed{}; ///< Reports an unexpected exception; called on the server's thread.
};

/// HTTP server for the load balancer's readiness probe, the metrics and the report, with a thread of its own. All
/// methods are thread-safe.
///
/// Not built on Pistache, which bounds neither its connections nor the answers that nobody reads.
class monitoring_server {
public:
    explicit monitoring_server(monitoring_server_options options);
    ~monitoring_server();
    monitoring_server(const monitoring_server&) = delete;
    monitoring_server& operator=(const monitoring_server&) = delete;
    monitoring_server(monitoring_server&&) = delete;
    monitoring_server& operator=(monitoring_server&&) = delete;

    /// Binds the addresses and starts to answer. Precondition: called once. Error (bad_request): an address is
    /// malformed or in use.
    [[nodiscard]] result<done> start();

    /// Sets what the readiness probe answers from now on.
    void set_ready(bool ready);

    /// Replaces the metrics.
    void publish(const metrics_report& report);

    /// Replaces the report.
    void publish(const gateway_report& report);

    /// Replaces the configuration.
    void publish(std::shared_ptr<const service_configuration> configuration);

    /// Stops answering.
    void stop();

private:
    class impl;

    std::unique_ptr<impl> impl_;
};

} // namespace citronfall
