#include "gateway/monitoring_server.h"

#include "config_check/configuration_summary.h"
#include "core/endpoint_address.h"
#include "gateway/configuration_summary_json.h"
#include "gateway/report_json.h"
#include "metrics/metrics_text.h"

#include <atomic>
#include <mutex>
#include <utility>
#include <vector>

#include <pistache/endpoint.h>

namespace citronfall {
namespace {

namespace http = Pistache::Http;

/// Data from which requests are answered. Written by the daemon's threads, read by Pistache's.
struct monitoring_state {
    std::atomic<bool> ready{false};
    std::mutex mutex;
    metrics_report metrics;
    gateway_report report;
    std::shared_ptr<const service_configuration> configuration;
    std::string ready_path;
    std::string metrics_path;
    std::string report_path;
    std::string configuration_path;
};

class monitoring_handler : public http::Handler {
public:
    HTTP_PROTOTYPE(monitoring_handler)

    explicit monitoring_handler(std::shared_ptr<monitoring_state> state) : state_(std::move(state)) {}

    void onRequest(const http::Request& request, http::ResponseWriter response) override
    {
        if (request.resource() == state_->ready_path) {
            response.send(state_->ready ? http::Code::Ok : http::Code::Service_Unavailable);
        } else if (request.resource() == state_->metrics_path) {
            response.send(http::Code::Ok, metrics());
        } else if (request.resource() == state_->report_path) {
            response.send(http::Code::Ok, report());
        } else if (const auto configuration = in_force();
                   configuration && request.resource() == state_->configuration_path) {
            response.send(http::Code::Ok, configuration_summary_json(summarize(*configuration)));
        } else {
            response.send(http::Code::Not_Found);
        }
    }

private:
    std::string metrics()
    {
        const std::lock_guard lock(state_->mutex);
        return metrics_text(state_->metrics);
    }

    std::string report()
    {
        const std::lock_guard lock(state_->mutex);
        return report_json(state_->report);
    }

    std::shared_ptr<const service_configuration> in_force()
    {
        const std::lock_guard lock(state_->mutex);
        return state_->configuration;
    }

    std::shared_ptr<monitoring_state> state_;
};

} // namespace

class monitoring_server::impl {
public:
    explicit impl(monitoring_server_options options)
        : options_(std::move(options)), state_(std::make_shared<monitoring_state>())
    {
        state_->ready_path = options_.ready_path;
        state_->metrics_path = options_.metrics_path;
        state_->report_path = options_.report_path;
        state_->configuration_path = options_.configuration_path;
    }

    result<done> start()
    {
        std::vector<std::string> addresses{options_.address};
        if (!options_.metrics_address.empty()) {
            addresses.push_back(options_.metrics_address);
        }
        for (const std::string& address : addresses) {
            if (auto started = listen(address); !ok(started)) {
                return started;
            }
        }
        return done{};
    }

    void stop()
    {
        for (const auto& each : endpoints_) {
            each->shutdown();
        }
    }

    monitoring_state& state() { return *state_; }

private:
    result<done> listen(const std::string& address)
    {
        const auto parsed = endpoint_address::make(address);
        if (!ok(parsed)) {
            return error_of(parsed);
        }
        try {
            const Pistache::Address target(value_of(parsed)->host, Pistache::Port(value_of(parsed)->port));
            auto endpoint = std::make_unique<http::Endpoint>(target);
            endpoint->init(http::Endpoint::options().threads(1).flags(Pistache::Tcp::Options::ReuseAddr));
            endpoint->setHandler(http::make_handler<monitoring_handler>(state_));
            endpoint->serveThreaded();
            endpoints_.push_back(std::move(endpoint));
        } catch (const std::exception& problem) {
            return error{{.kind = error_kind::bad_request, .detail = address + ": " + problem.what()}};
        }
        return done{};
    }

    monitoring_server_options options_;
    std::shared_ptr<monitoring_state> state_;
    std::vector<std::unique_ptr<http::Endpoint>> endpoints_;
};

monitoring_server::monitoring_server(monitoring_server_options options)
    : impl_(std::make_unique<impl>(std::move(options)))
{
}

monitoring_server::~monitoring_server() = default;

result<done> monitoring_server::start()
{
    return impl_->start();
}

void monitoring_server::set_ready(bool ready)
{
    impl_->state().ready = ready;
}

void monitoring_server::publish(const metrics_report& report)
{
    const std::lock_guard lock(impl_->state().mutex);
    impl_->state().metrics = report;
}

void monitoring_server::publish(const gateway_report& report)
{
    const std::lock_guard lock(impl_->state().mutex);
    impl_->state().report = report;
}

void monitoring_server::publish(std::shared_ptr<const service_configuration> configuration)
{
    const std::lock_guard lock(impl_->state().mutex);
    impl_->state().configuration = std::move(configuration);
}

void monitoring_server::stop()
{
    impl_->stop();
}

} // namespace citronfall
