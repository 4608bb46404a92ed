#include "support/observed_process.h"

#include "gateway/gateway_settings.h"
#include "platform/standin/blocking_client.h"
#include "standin/free_port.h"
#include "standin/sample_deployment.h"
#include "standin/settings_text.h"
#include "support/raw_client.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

#include <unistd.h>

namespace citronfall::testing {
namespace {

using namespace std::chrono_literals;

constexpr auto pause = 50ms;
constexpr int max_attempts = 200;

/// Connections that a stand-in member accepts.
constexpr std::uint32_t member_connections = 20;

} // namespace

observed_process::observed_process(const std::string& program, const process_limits& limits)
    : callers_(citronfall::standin::free_address()), probe_(citronfall::standin::free_address()),
      peers_(citronfall::standin::free_address()), file_("/tmp/citronfall-observed-" + std::to_string(::getpid()))
{
    const std::string store = citronfall::standin::free_address();
    const std::string promotion = citronfall::standin::free_address();
    start_platform(store, promotion);
    std::ofstream(file_) << citronfall::standin::settings_text(gateway_settings{{.name = "d0",
                                                                                 .region = "r",
                                                                                 .data_center = "d",
                                                                                 .callers = callers_,
                                                                                 .probe = probe_,
                                                                                 .probe_path = "/ready",
                                                                                 .peer_listen = peers_,
                                                                                 .store = store,
                                                                                 .promotion_address = promotion,
                                                                                 .max_descriptors = limits.descriptors,
                                                                                 .memory_mb = limits.memory_mb}});
    process_.emplace(std::vector<std::string>{program, "--platform", file_}, file_ + ".log");
    if (!serves()) {
        throw std::runtime_error("the daemon does not serve");
    }
}

observed_process::~observed_process()
{
    process_.reset();
    loop_.stop();
    if (loop_thread_.joinable()) {
        loop_thread_.join();
    }
    std::filesystem::remove(file_);
    std::filesystem::remove(file_ + ".log");
}

void observed_process::start_platform(const std::string& store, const std::string& promotion)
{
    auto made = platform::standin::loopback_platform::make(
        loop_, {.store = store,
                .promotion_address = promotion,
                .members = {{"a", citronfall::standin::free_address()},
                            {"b", citronfall::standin::free_address()},
                            {"c", citronfall::standin::free_address()}},
                .max_connections = member_connections,
                .configuration = citronfall::standin::sample_deployment(1, member_connections)});
    if (!ok(made)) {
        throw std::runtime_error(error_of(made)->detail);
    }
    platform_ = take(std::move(made));
    loop_thread_ = std::thread([this] { loop_.run(); });
}

bool observed_process::alive()
{
    return !process_->ended();
}

std::size_t observed_process::peak_memory_mb() const
{
    std::ifstream status("/proc/" + std::to_string(process_->id()) + "/status");
    const std::string key = "VmHWM:";
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(key)) {
            return std::stoul(line.substr(key.size())) / 1024;
        }
    }
    return 0;
}

std::size_t observed_process::descriptors() const
{
    std::error_code code;
    const std::filesystem::directory_iterator first("/proc/" + std::to_string(process_->id()) + "/fd", code);
    return code ? 0 : static_cast<std::size_t>(std::distance(first, std::filesystem::directory_iterator{}));
}

bool observed_process::serves(const std::string& text)
{
    for (int attempt = 0; attempt < max_attempts && alive(); ++attempt) {
        platform::standin::blocking_client caller(callers_);
        const auto started = caller.start("own", 1s);
        if (started.complete && !started.error_code) {
            const auto answer = caller.execute("ordinary" + std::to_string(++last_statement_), text, 2s);
            if (answer.complete && !answer.error_code) {
                return true;
            }
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

bool observed_process::answers_probe() const
{
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        try {
            raw_client probe(probe_);
            if (probe.write(get("/ready", false)) && probe.read_answers(1, 1s).starts_with("HTTP/1.1 200")) {
                return true;
            }
        } catch (const std::runtime_error&) {
            // Refused: tried again.
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

} // namespace citronfall::testing
