#include "support/fault.h"

namespace citronfall::testing {
namespace {

const std::string& any_daemon(virtual_deployment& world)
{
    return world.daemons()[world.time().draw(world.daemons().size())];
}

void restore_members(virtual_deployment& world)
{
    for (const char* member : {"a", "b", "c"}) {
        world.group().heal(member);
    }
}

void restart_daemons(virtual_deployment& world)
{
    for (const std::string& daemon : world.daemons()) {
        if (!world.running(daemon)) {
            world.start(daemon);
        }
    }
}

/// Waits for a daemon to start a failover after log line `from` and pauses it. Checks every millisecond, `left` times.
void pause_leader(virtual_deployment& world, std::size_t from, int left)
{
    for (std::size_t i = from; i < world.log().size(); ++i) {
        if (world.log()[i].find("starting failover") != std::string::npos) {
            world.pause(world.log()[i].substr(0, world.log()[i].find(':')), std::chrono::seconds(2));
            return;
        }
    }
    if (left > 0) {
        world.time().after(std::chrono::milliseconds(1), [&world, from, left] { pause_leader(world, from, left - 1); });
    }
}

void nothing(virtual_deployment&) {}

} // namespace

const std::vector<fault>& fault::all()
{
    using world = virtual_deployment;
    static const std::vector<fault> faults = {
        {"primary cut off", [](world& each) { each.group().partition(each.group().primary()); }, restore_members},
        {"replicas far behind", [](world& each) { each.group().lag(std::chrono::milliseconds(1'500)); },
         [](world& each) {
             each.group().lag(std::chrono::milliseconds(5));
         }},
        {"daemon lost", [](world& each) { each.kill_daemon(any_daemon(each)); }, restart_daemons},
        {"platform down", [](world& each) { each.platform().outage(true); },
         [](world& each) {
             each.platform().outage(false);
         }},
        {"platform slow", [](world& each) { each.platform().latency(std::chrono::milliseconds(200)); },
         [](world& each) {
             each.platform().latency(std::chrono::milliseconds(2));
         }},
        {"platform answers lost after the effect", [](world& each) { each.platform().lose_answers(3); },
         [](world& each) {
             each.platform().lose_answers(0);
         }},
        {"daemon paused", [](world& each) { each.pause(any_daemon(each), std::chrono::milliseconds(1'500)); }, nothing},
        {"connections silent", [](world& each) { each.group().silence(each.group().primary()); }, nothing},
        {"leader paused", [](world& each) { pause_leader(each, each.log().size(), 3'000); }, nothing},
        {"peers apart", [](world& each) { each.connect_peers(false); },
         [](world& each) {
             each.connect_peers(true);
         }},
    };
    return faults;
}

} // namespace citronfall::testing
