#include "support/fault.h"

namespace citronfall::testing {
namespace {

const std::string& any_daemon(virtual_deployment& deployment)
{
    return deployment.daemons()[deployment.time().draw(deployment.daemons().size())];
}

void restore_members(virtual_deployment& deployment)
{
    for (const char* member : {"a", "b", "c"}) {
        deployment.group().heal(member);
    }
}

void restart_daemons(virtual_deployment& deployment)
{
    for (const std::string& daemon : deployment.daemons()) {
        if (!deployment.running(daemon)) {
            deployment.start(daemon);
        }
    }
}

/// Waits for a daemon to start a failover after log line `from` and pauses it. Checks every millisecond, `left` times.
void pause_leader(virtual_deployment& deployment, std::size_t from, int left)
{
    for (std::size_t i = from; i < deployment.log().size(); ++i) {
        if (deployment.log()[i].find("starting failover") != std::string::npos) {
            deployment.pause(deployment.log()[i].substr(0, deployment.log()[i].find(':')), std::chrono::seconds(2));
            return;
        }
    }
    if (left > 0) {
        deployment.time().after(std::chrono::milliseconds(1),
                                [&deployment, from, left] { pause_leader(deployment, from, left - 1); });
    }
}

void no_repair(virtual_deployment&) {}

} // namespace

const std::vector<fault>& fault::all()
{
    using target = virtual_deployment;
    static const std::vector<fault> faults = {
        {"primary cut off", [](target& deployment) { deployment.group().partition(deployment.group().primary()); },
         restore_members},
        {"replicas far behind", [](target& deployment) { deployment.group().lag(std::chrono::milliseconds(1'500)); },
         [](target& deployment) {
             deployment.group().lag(std::chrono::milliseconds(5));
         }},
        {"daemon lost", [](target& deployment) { deployment.kill_daemon(any_daemon(deployment)); }, restart_daemons},
        {"platform down", [](target& deployment) { deployment.platform().outage(true); },
         [](target& deployment) {
             deployment.platform().outage(false);
         }},
        {"platform slow", [](target& deployment) { deployment.platform().latency(std::chrono::milliseconds(200)); },
         [](target& deployment) {
             deployment.platform().latency(std::chrono::milliseconds(2));
         }},
        {"platform answers lost after the effect", [](target& deployment) { deployment.platform().lose_answers(3); },
         [](target& deployment) {
             deployment.platform().lose_answers(0);
         }},
        {"daemon paused",
         [](target& deployment) { deployment.pause(any_daemon(deployment), std::chrono::milliseconds(1'500)); },
         no_repair},
        {"connections silent", [](target& deployment) { deployment.group().silence(deployment.group().primary()); },
         no_repair},
        {"leader paused", [](target& deployment) { pause_leader(deployment, deployment.log().size(), 3'000); },
         no_repair},
        {"peers apart", [](target& deployment) { deployment.connect_peers(false); },
         [](target& deployment) {
             deployment.connect_peers(true);
         }},
    };
    return faults;
}

} // namespace citronfall::testing
