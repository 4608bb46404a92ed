#include "deployment.h"

#include "core/boot_clock.h"
#include "platform/standin/blocking_client.h"
#include "standin/free_port.h"
#include "standin/sample_deployment.h"

#include <cstdlib>
#include <fstream>
#include <future>
#include <stdexcept>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

namespace review {
namespace {

using namespace std::chrono_literals;
using citronfall::boot_now;
using citronfall::duration;
using citronfall::platform::standin::blocking_client;
using citronfall::platform::standin::loopback_member;
using citronfall::platform::standin::loopback_platform;

constexpr std::size_t seed_count = 3;
constexpr std::size_t members = 3;
constexpr duration statement_timeout = 800ms; ///< TimeoutMs of the small sites' bookings.

} // namespace

deployment::deployment(deployment_options options) : options_(std::move(options))
{
    store_ = citronfall::standin::free_address();
    promotion_address_ = citronfall::standin::free_address();
    citronfall::platform::standin::loopback_platform_options platform{
        .store = store_,
        .promotion_address = promotion_address_,
        .max_connections = options_.max_connections,
        .replica_lag = 20ms,
        .configuration = citronfall::standin::sample_deployment(1, static_cast<std::uint32_t>(options_.max_connections),
                                                                {}, statement_timeout)};
    for (std::size_t i = 0; i < members; ++i) {
        loopback_member member{.id = "m" + std::to_string(i), .address = citronfall::standin::free_address()};
        if (i < options_.advertised.size()) {
            member.advertised_address = options_.advertised[i];
        }
        member_addresses_.push_back(member.address);
        platform.members.push_back(std::move(member));
    }
    if (options_.service_time) {
        platform.service_time = options_.service_time;
    }
    auto made = loopback_platform::make(loop_, std::move(platform));
    if (!citronfall::ok(made)) {
        throw std::runtime_error(citronfall::error_of(made)->detail);
    }
    platform_ = citronfall::take(std::move(made));
    for (std::size_t i = 0; i < options_.daemons.size(); ++i) {
        all_.push_back({.name = options_.daemons[i],
                        .data_center = options_.data_centers.at(i),
                        .callers = citronfall::standin::free_address(),
                        .probe = citronfall::standin::free_address(),
                        .peers = citronfall::standin::free_address(),
                        .metrics = citronfall::standin::free_address()});
    }
    for (auto& each : all_) {
        for (std::size_t i = 0; i < seed_count && i < all_.size(); ++i) {
            each.seeds.push_back(all_[i].peers);
        }
    }
    thread_ = std::thread([this] { loop_.run(); });
}

deployment::~deployment()
{
    for (auto& each : all_) {
        if (each.process) {
            each.process->signal(SIGCONT);
        }
        each.process.reset(); // Kills the process if it still runs.
    }
    stop_loop();
}

std::string deployment::log_file(std::size_t daemon) const
{
    return options_.folder + "/" + all_.at(daemon).name + ".log";
}

/// The settings as platform/settings.json.template renders them, with the bounds and limits of a small site.
void deployment::write_settings(const daemon_setup& daemon) const
{
    const nlohmann::json settings{
        {"daemon",
         {{"name", daemon.name}, {"region", "guj-west"}, {"data_center", daemon.data_center}, {"first_start", true}}},
        {"callers", {{"address", daemon.callers}}},
        {"probe", {{"address", daemon.probe}, {"path", "/-/ready"}}},
        {"metrics", {{"address", daemon.metrics}}},
        {"peer", {{"address", daemon.peers}, {"seeds", daemon.seeds}}},
        {"store", {{"address", store_}}},
        {"duties", {{"address", promotion_address_}, {"fences_enforced", true}}},
        {"bounds", {{"drain_ms", 7000}, {"grace_s", 6}, {"apply_ms", 3000}}},
        {"limits", {{"descriptors", 4300}, {"processor_share", 0.25}, {"cores", 1}, {"link_mbps", 1000.0}}}};
    std::ofstream(options_.folder + "/" + daemon.name + ".json") << settings.dump(2);
}

void deployment::start(std::size_t index)
{
    daemon_setup& daemon = all_.at(index);
    write_settings(daemon);
    const std::string file = options_.folder + "/" + daemon.name + ".json";
    ::setenv("CITRONFALL_NODE_FILE", file.c_str(), 1);
    daemon.process = std::make_unique<citronfall::soak::child_process>(
        std::vector<std::string>{options_.program, "--platform"}, log_file(index));
}

bool deployment::await_service(std::size_t daemon, duration limit)
{
    const auto until = boot_now() + limit;
    while (boot_now() < until) {
        blocking_client caller(all_.at(daemon).callers);
        const auto started = caller.connected() ? caller.start("fresh", 1s) : decltype(caller.start("fresh", 1s)){};
        if (started.complete && !started.error_code) {
            const std::string id = "probe-" + std::to_string(++probes_);
            const auto answer = caller.execute(id, "WRITE probe " + id, 1s);
            if (answer.complete && !answer.error_code) {
                return true;
            }
        }
        std::this_thread::sleep_for(50ms);
    }
    return false;
}

void deployment::on_loop(const std::function<void()>& action)
{
    std::promise<void> done;
    boost::asio::post(loop_.loop(), [&] {
        action();
        done.set_value();
    });
    done.get_future().wait();
}

void deployment::stop_loop()
{
    if (thread_.joinable()) {
        loop_.stop();
        thread_.join();
    }
}

bool trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review
