#pragma once

#include "gateway/gateway.h"
#include "platform/platform.h"
#include "platform/standin/blocking_client.h"
#include "platform/standin/loopback_platform.h"
#include "standin/free_port.h"
#include "standin/http_server.h"
#include "standin/sample_deployment.h"
#include "standin/settings_text.h"

#include <chrono>
#include <cstdio>
#include <fstream>
#include <functional>
#include <future>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <unistd.h>

#include <easylogging++.h>

namespace citronfall::testing {

/// A gateway connected to the stand-in of a store and of three members, on loopback, in threads of this process. The
/// databases "fresh", "aged" and "own" have one route of each read consistency.
class running_gateway {
public:
    running_gateway()
    {
        el::Loggers::reconfigureAllLoggers(el::ConfigurationType::Enabled, "false");
        const std::string store = standin::free_address();
        const std::string promotion_address = standin::free_address();
        platform_ = value_or_throw(
            platform::standin::loopback_platform::make(loop_, {.store = store,
                                                               .promotion_address = promotion_address,
                                                               .members = {{"a", standin::free_address()},
                                                                           {"b", standin::free_address()},
                                                                           {"c", standin::free_address()}},
                                                               .configuration = standin::sample_deployment(1, 20)}));
        loop_thread_ = std::thread([this] { loop_.run(); });
        write_settings(gateway_settings{{.name = "d0",
                                         .region = "r",
                                         .data_center = "d",
                                         .callers = address_,
                                         .probe = probe_address_,
                                         .probe_path = "/ready",
                                         .store = store,
                                         .promotion_address = promotion_address}});
        gateway_ = value_or_throw(gateway::make(value_or_throw(platform::read_settings(settings_path_)),
                                                platform::make_platform_adapter(settings_path_)));
        gateway_thread_ = std::thread([this] { gateway_->run(); });
        wait_until_serving();
    }

    ~running_gateway()
    {
        gateway_->terminate();
        gateway_thread_.join();
        loop_.stop();
        loop_thread_.join();
        std::remove(settings_path_.c_str());
    }

    running_gateway(const running_gateway&) = delete;
    running_gateway& operator=(const running_gateway&) = delete;
    running_gateway(running_gateway&&) = delete;
    running_gateway& operator=(running_gateway&&) = delete;

    /// "ip:port" at which callers connect.
    [[nodiscard]] const std::string& address() const { return address_; }

    /// "ip:port" of the readiness probe, the metrics and the status.
    [[nodiscard]] const std::string& probe() const { return probe_address_; }

    /// Runs an action on the thread of the stand-in and waits until it has returned.
    void run_on_platform(const std::function<void(platform::standin::loopback_platform&)>& action)
    {
        std::promise<void> ended;
        boost::asio::post(loop_.loop(), [&] {
            action(*platform_);
            ended.set_value();
        });
        ended.get_future().wait();
    }

private:
    template <class T>
    static T value_or_throw(result<T> outcome)
    {
        if (!ok(outcome)) {
            throw std::runtime_error(error_of(outcome)->detail);
        }
        return take(std::move(outcome));
    }

    void write_settings(const gateway_settings& settings) const
    {
        std::ofstream(settings_path_) << standin::settings_text(settings);
    }

    void wait_until_serving() const
    {
        constexpr auto pause = std::chrono::milliseconds(50);
        for (int attempt = 0; attempt < 200; ++attempt) {
            platform::standin::blocking_client caller(address_);
            const auto started = caller.start("own", std::chrono::seconds(1));
            if (started.complete && !started.error_code &&
                !caller.execute("probe", "READ x", std::chrono::seconds(1)).error_code) {
                return;
            }
            std::this_thread::sleep_for(pause);
        }
        throw std::runtime_error("the daemon does not serve");
    }

    std::string address_ = standin::free_address();
    std::string probe_address_ = standin::free_address();
    std::string settings_path_ = "/tmp/citronfall-test-" + std::to_string(::getpid()) + ".json";
    standin::http_server loop_;
    std::unique_ptr<platform::standin::loopback_platform> platform_;
    std::thread loop_thread_;
    std::unique_ptr<gateway> gateway_;
    std::thread gateway_thread_;
};

} // namespace citronfall::testing
