#include "support/fault_schedule.h"

#include <algorithm>
#include <memory>
#include <random>
#include <set>

namespace citronfall::testing {
namespace {

/// How long callers send requests.
constexpr duration calling = std::chrono::seconds(4);

/// The deployment must serve requests within this time after all faults have ended: the promised maximum gap after a
/// failure.
constexpr duration recovery_bound = std::chrono::seconds(9);

/// Sends bookings through one daemon until one is confirmed.
void probe(virtual_deployment& world, const std::string& daemon, const std::shared_ptr<std::set<std::string>>& waiting,
           int number)
{
    world.submit(daemon,
                 {.tenant = virtual_deployment::tenant,
                  .class_name = virtual_deployment::booking_class,
                  .group = virtual_deployment::group_name,
                  .kind = statement_kind::write,
                  .statement = "book probe-" + daemon + "-" + std::to_string(number) + " " + daemon + "-" +
                               std::to_string(number),
                  .request_id = "probe-" + daemon + "-" + std::to_string(number),
                  .deadline = world.time().now() + std::chrono::seconds(1)},
                 [&world, daemon, waiting, number](const caller_answer& answer) {
                     if (!answer->failure) {
                         waiting->erase(daemon);
                         return;
                     }
                     world.time().after(std::chrono::milliseconds(50), [&world, daemon, waiting, number] {
                         probe(world, daemon, waiting, number + 1);
                     });
                 });
}

/// Whether all members have the same log and are in the same term.
bool converged(const virtual_deployment& world)
{
    const auto& first = world.group().model("a");
    for (const char* name : {"b", "c"}) {
        const auto& other = world.group().model(name);
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
    virtual_deployment world({.seed = seed, .connections_per_member = connections_per_member});
    if (prepare) {
        prepare(world);
    }
    virtual_time& time = world.time();
    const instant begin = time.now();
    fault_schedule_outcome seen;
    time.run_until(begin + std::chrono::milliseconds(300));
    virtual_callers callers(world, {.transactions = true});
    callers.start(begin + calling);
    for (const fault& each : faults) {
        const duration at = std::chrono::milliseconds(500 + time.draw(2'000));
        time.at(begin + at, [&] { each.begin(world); });
        seen.log.push_back(each.name + " at " + std::to_string(at.count() / 1000) + " ms");
        if (time.draw(2) == 0) {
            time.at(begin + at + std::chrono::milliseconds(200 + time.draw(1'500)), [&] { each.end(world); });
        }
    }
    time.run_until(begin + calling);
    for (const fault& each : faults) {
        each.end(world);
    }
    const auto waiting = std::make_shared<std::set<std::string>>(world.daemons().begin(), world.daemons().end());
    for (const std::string& daemon : world.daemons()) {
        probe(world, daemon, waiting, 1);
    }
    const instant bound = begin + calling + recovery_bound;
    while (time.now() < bound && !(waiting->empty() && converged(world))) {
        time.run_until(time.now() + std::chrono::milliseconds(100));
    }
    // Statements and answers that are still in flight must take effect before the check.
    time.run_until(time.now() + std::chrono::milliseconds(1'500));
    seen.broken = callers.check();
    if (!waiting->empty()) {
        seen.broken.push_back("recovery: no booking confirmed through " + *waiting->begin());
    } else if (!converged(world)) {
        seen.broken.push_back("recovery: members differ");
    }
    seen.operations = callers.history().size();
    seen.confirmed = callers.confirmations().size();
    seen.committed = std::count_if(callers.history().begin(), callers.history().end(), [](const auto& each) {
        return each.transaction && each.answered && each.effect == outcome::done;
    });
    seen.changes = world.logged("promoted");
    seen.longest_gap = longest_gap(callers.confirmations());
    seen.log.insert(seen.log.end(), world.log().begin(), world.log().end());
    return seen;
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
