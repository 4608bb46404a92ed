#include "support/fault_schedule.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>

namespace citronfall::testing {
namespace {

/// How long callers send requests.
constexpr duration workload_duration = std::chrono::seconds(4);

/// The deployment must serve requests within this time after all faults have ended: the promised maximum gap after a
/// failure.
constexpr duration recovery_bound = std::chrono::seconds(9);

/// Sends bookings through one daemon until one is confirmed.
void probe(virtual_deployment& deployment, const std::string& daemon,
           const std::shared_ptr<std::set<std::string>>& waiting, int number)
{
    deployment.submit(daemon,
                      {.tenant = virtual_deployment::tenant,
                       .class_name = virtual_deployment::booking_class,
                       .group = virtual_deployment::group_name,
                       .kind = statement_kind::write,
                       .statement = "book probe-" + daemon + "-" + std::to_string(number) + " " + daemon + "-" +
                                    std::to_string(number),
                       .request_id = "probe-" + daemon + "-" + std::to_string(number),
                       .deadline = deployment.time().now() + std::chrono::seconds(1)},
                      [&deployment, daemon, waiting, number](const caller_answer& answer) {
                          if (!answer->failure) {
                              waiting->erase(daemon);
                              return;
                          }
                          deployment.time().after(std::chrono::milliseconds(50),
                                                  [&deployment, daemon, waiting, number] {
                                                      probe(deployment, daemon, waiting, number + 1);
                                                  });
                      });
}

/// Whether all members have the same log and are in the same term.
bool converged(const virtual_deployment& deployment)
{
    const auto& first = deployment.group().model("a");
    for (const char* name : {"b", "c"}) {
        const auto& other = deployment.group().model(name);
        if (other.log() != first.log() || other.status()->term != first.status()->term) {
            return false;
        }
    }
    return true;
}

std::optional<duration> longest_gap(const std::vector<instant>& times)
{
    std::optional<duration> longest;
    for (std::size_t i = 1; i < times.size(); ++i) {
        const duration gap = times[i] - times[i - 1];
        longest = longest ? std::max(*longest, gap) : gap;
    }
    return longest;
}

} // namespace

fault_schedule_outcome fault_schedule::run(std::uint64_t seed, const std::vector<fault>& faults,
                                           const std::function<void(virtual_deployment&)>& prepare,
                                           std::uint32_t connections_per_member)
{
    virtual_deployment deployment({.seed = seed, .connections_per_member = connections_per_member});
    if (prepare) {
        prepare(deployment);
    }
    virtual_time& time = deployment.time();
    const instant begin = time.now();
    fault_schedule_outcome run_result;
    time.run_until(begin + std::chrono::milliseconds(300));
    virtual_callers callers(deployment, {.transactions = true});
    callers.start(begin + workload_duration);
    for (const fault& each : faults) {
        const duration at = std::chrono::milliseconds(500 + time.draw(2'000));
        time.at(begin + at, [&] { each.begin(deployment); });
        run_result.log.push_back(each.name + " at " + std::to_string(at.count() / 1000) + " ms");
        if (time.draw(2) == 0) {
            time.at(begin + at + std::chrono::milliseconds(200 + time.draw(1'500)), [&] { each.end(deployment); });
        }
    }
    time.run_until(begin + workload_duration);
    for (const fault& each : faults) {
        each.end(deployment);
    }
    const auto waiting =
        std::make_shared<std::set<std::string>>(deployment.daemons().begin(), deployment.daemons().end());
    for (const std::string& daemon : deployment.daemons()) {
        probe(deployment, daemon, waiting, 1);
    }
    const instant bound = begin + workload_duration + recovery_bound;
    while (time.now() < bound && !(waiting->empty() && converged(deployment))) {
        time.run_until(time.now() + std::chrono::milliseconds(100));
    }
    // Statements and answers that are still in flight must take effect before the check.
    time.run_until(time.now() + std::chrono::milliseconds(1'500));
    run_result.violations = callers.check();
    if (!waiting->empty()) {
        run_result.violations.push_back("recovery: no booking confirmed through " + *waiting->begin());
    } else if (!converged(deployment)) {
        run_result.violations.push_back("recovery: members differ");
    }
    run_result.operations = callers.history().size();
    run_result.confirmed = callers.confirmations().size();
    run_result.committed = std::count_if(callers.history().begin(), callers.history().end(), [](const auto& each) {
        return each.transaction && each.answered && each.effect == outcome::done;
    });
    run_result.changes = deployment.count_log_lines("promoted");
    run_result.longest_gap = longest_gap(callers.confirmations());
    run_result.log.insert(run_result.log.end(), deployment.log().begin(), deployment.log().end());
    return run_result;
}

std::vector<fault> fault_schedule::draw_faults(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto& all = fault::all();
    std::vector<fault> drawn;
    for (std::uint64_t left = 2 + random() % 3; left > 0; --left) {
        drawn.push_back(all[random() % all.size()]);
    }
    return drawn;
}

} // namespace citronfall::testing
