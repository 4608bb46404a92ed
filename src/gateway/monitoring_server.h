#pragma once

#include "citronfall/metrics_report.h"
#include "citronfall/result.h"
#include "gateway/gateway_report.h"

#include <memory>
#include <string>

namespace citronfall {

/// Settings of a probe server.
struct monitoring_server_options {
    std::string address;         ///< "ip:port" of the readiness probe.
    std::string ready_path;      ///< Answered with 200 while the daemon is ready, else with 503.
    std::string metrics_path;    ///< Answered with the newest metrics on each address.
    std::string report_path;     ///< Answered with the newest report on each address.
    std::string metrics_address; ///< "ip:port"; empty: metrics are served beside the probe only.
};

/// Answers the balancer's readiness probe and serves the metrics, over Pistache. All methods are thread-safe.
class monitoring_server {
public:
    explicit monitoring_server(monitoring_server_options options);
    ~monitoring_server();
    monitoring_server(const monitoring_server&) = delete;
    monitoring_server& operator=(const monitoring_server&) = delete;
    monitoring_server(monitoring_server&&) = delete;
    monitoring_server& operator=(monitoring_server&&) = delete;

    /// Binds the addresses and starts to answer. Error (bad_request): an address is malformed or taken.
    [[nodiscard]] result<done> start();

    /// What the probe answers from now on.
    void set_ready(bool ready);

    /// What the metrics show from now on.
    void publish(const metrics_report& report);

    /// What the report shows from now on.
    void publish(const gateway_report& report);

    /// Stops answering.
    void stop();

private:
    class parts;

    std::unique_ptr<parts> parts_;
};

} // namespace citronfall
