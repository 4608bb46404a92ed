#include "gateway/monitoring_server.h"

#include "config_check/configuration_summary.h"
#include "gateway/configuration_summary_json.h"
#include "gateway/monitoring_connection.h"
#include "gateway/report_json.h"
#include "metrics/metrics_text.h"
#include "socket/tcp_listener.h"

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

namespace citronfall {
namespace {

using tcp = boost::asio::ip::tcp;

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

/// One address and its connections.
struct monitoring_port {
    explicit monitoring_port(boost::asio::io_context& context) : listener(context) {}

    tcp_listener listener;
    std::map<std::uint64_t, std::shared_ptr<monitoring_connection>> connections;
};

} // namespace

class monitoring_server::impl {
public:
    explicit impl(monitoring_server_options options) : options_(std::move(options)) {}

    ~impl() { stop(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    impl(impl&&) = delete;
    impl& operator=(impl&&) = delete;

    result<done> start()
    {
        std::vector<std::string> addresses{options_.address};
        if (!options_.metrics_address.empty()) {
            addresses.push_back(options_.metrics_address);
        }
        for (const std::string& address : addresses) {
            auto& port = *ports_.emplace_back(std::make_unique<monitoring_port>(context_));
            if (auto opened = port.listener.open(address); !ok(opened)) {
                return opened;
            }
            port.listener.accept([this, &port](tcp::socket socket) { accept(port, std::move(socket)); });
        }
        thread_ = std::thread([this] {
            const auto work = boost::asio::make_work_guard(context_);
            run_event_loop(context_, options_.failed);
        });
        return done{};
    }

    void stop()
    {
        context_.stop();
        const std::lock_guard lock(stop_mutex_);
        if (thread_.joinable()) {
            thread_.join();
        }
    }

    void set_ready(bool ready) { ready_ = ready; }

    void publish(const metrics_report& report)
    {
        const std::lock_guard lock(mutex_);
        metrics_ = report;
    }

    void publish(const gateway_report& report)
    {
        const std::lock_guard lock(mutex_);
        report_ = report;
    }

    void publish(std::shared_ptr<const service_configuration> configuration)
    {
        const std::lock_guard lock(mutex_);
        configuration_ = std::move(configuration);
    }

private:
    void accept(monitoring_port& port, tcp::socket socket)
    {
        if (port.connections.size() >= options_.max_connections) {
            close_least_used(port);
        }
        const std::uint64_t number = ++last_connection_;
        const auto connection = std::make_shared<monitoring_connection>(
            std::move(socket),
            monitoring_connection_options{.answer = [this](const std::string& path) { return answer(path); },
                                          .closed =
                                              [&port, number] {
                                                  port.connections.erase(number);
                                              }});
        port.connections.emplace(number, connection);
        connection->read();
    }

    static void close_least_used(monitoring_port& port)
    {
        const auto chosen =
            std::min_element(port.connections.begin(), port.connections.end(),
                             [](const auto& a, const auto& b) { return a.second->used_at() < b.second->used_at(); });
        chosen->second->close();
        port.connections.erase(chosen);
    }

    monitoring_answer answer(const std::string& path)
    {
        if (path == options_.ready_path) {
            return {.status = ready_ ? status_ok : status_unavailable};
        }
        const std::lock_guard lock(mutex_);
        if (path == options_.metrics_path) {
            return {.body = metrics_text(metrics_)};
        }
        if (path == options_.report_path) {
            return {.body = report_json(report_)};
        }
        if (configuration_ && path == options_.configuration_path) {
            return {.body = configuration_summary_json(summarize(*configuration_))};
        }
        return {.status = status_not_found};
    }

    monitoring_server_options options_;
    std::atomic<bool> ready_{false};
    std::mutex mutex_; ///< Guards the reports.
    metrics_report metrics_;
    gateway_report report_;
    std::shared_ptr<const service_configuration> configuration_;
    boost::asio::io_context context_{1};
    std::vector<std::unique_ptr<monitoring_port>> ports_;
    std::uint64_t last_connection_ = 0;
    std::mutex stop_mutex_;
    std::thread thread_;
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
    impl_->set_ready(ready);
}

void monitoring_server::publish(const metrics_report& report)
{
    impl_->publish(report);
}

void monitoring_server::publish(const gateway_report& report)
{
    impl_->publish(report);
}

void monitoring_server::publish(std::shared_ptr<const service_configuration> configuration)
{
    impl_->publish(std::move(configuration));
}

void monitoring_server::stop()
{
    impl_->stop();
}

} // namespace citronfall
