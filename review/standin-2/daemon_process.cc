#include "daemon_process.h"

#include <csignal>
#include <fstream>
#include <utility>

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {
namespace {

constexpr std::uint16_t readiness_port = 8785;
constexpr std::uint16_t admin_port = 8782;
constexpr std::uint16_t metrics_port = 7440;

/// Loopback address that no other process uses: the process id and a counter are in it.
std::string next_host()
{
    static unsigned count = 0;
    const auto process = static_cast<unsigned>(getpid());
    return "127." + std::to_string(10 + ++count) + "." + std::to_string(process / 250 % 250) + "." +
           std::to_string(1 + process % 250);
}

std::string address_of(const std::string& host, std::uint16_t port)
{
    return host + ":" + std::to_string(port);
}

} // namespace

daemon_process::daemon_process(daemon_options options) : options_(std::move(options)), host_(next_host()) {}

daemon_process::~daemon_process()
{
    kill();
}

void daemon_process::kill()
{
    if (process_ > 0) {
        ::kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
        process_ = 0;
    }
}

void daemon_process::restart()
{
    options_.first_start = false;
    start(std::vector<std::string>(seeds_));
}

std::string daemon_process::admin_address() const
{
    return address_of(host_, admin_port);
}

void daemon_process::start(const std::vector<std::string>& seeds)
{
    seeds_ = seeds;
    const nlohmann::json settings{
        {"daemon",
         {{"name", options_.name},
          {"region", "guj-west"},
          {"data_center", options_.zone},
          {"first_start", options_.first_start}}},
        {"callers", {{"address", address_of(host_, frontend_port)}}},
        {"probe", {{"address", address_of(host_, readiness_port)}, {"path", "/-/ready"}}},
        {"metrics", {{"address", address_of(host_, metrics_port)}}},
        {"peer", {{"address", address_of(host_, admin_port)}, {"seeds", seeds}}},
        {"store", {{"address", options_.store_address}}},
        {"duties", {{"address", options_.promotion_address}, {"fences_enforced", options_.fences_enforced}}},
        {"bounds", {{"drain_ms", options_.drain_ms}, {"grace_s", 6}, {"apply_ms", options_.apply_ms}}},
        {"limits",
         {{"descriptors", 4300},
          {"memory_mb", 260},
          {"processor_share", 0.25},
          {"cores", 1},
          {"link_mbps", options_.link_mbps}}}};
    const std::string file = options_.folder + "/" + options_.name + ".json";
    std::ofstream(file) << settings.dump(2);
    const std::string log = options_.folder + "/" + options_.name + ".log";
    process_ = fork();
    if (process_ != 0) {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL); // It ends with the case, also if that is killed.
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    setenv("CITRONFALL_NODE_FILE", file.c_str(), 1);
    execl(options_.program.c_str(), options_.program.c_str(), "--platform", nullptr);
    _exit(127);
}

bool daemon_process::running() const
{
    return process_ > 0 && ::kill(process_, 0) == 0 && waitpid(process_, nullptr, WNOHANG) == 0;
}

} // namespace review
