#include "support/write_load.h"

#include <algorithm>
#include <map>
#include <variant>

namespace citronfall {
namespace {

constexpr duration step = std::chrono::milliseconds(5);
constexpr duration write_interval = std::chrono::milliseconds(20);

/// A caller takes a statement that has no answer for so long for lost and reconnects.
constexpr duration caller_timeout = std::chrono::seconds(1);

} // namespace

write_load::write_load(gateway_simulation& simulation, std::size_t callers) : simulation_(simulation)
{
    for (std::size_t i = 0; i < callers; ++i) {
        callers_.push_back({.daemon = i % simulation.daemons()});
        connect(callers_.back());
    }
}

void write_load::run(duration length)
{
    for (const instant end = simulation_.now() + length; simulation_.now() < end;) {
        for (caller& each : callers_) {
            advance(each);
        }
        simulation_.run(std::min(step, std::max<duration>(end - simulation_.now(), {})));
    }
}

void write_load::connect(caller& each)
{
    while (simulation_.stopped(each.daemon)) {
        each.daemon = (each.daemon + 1) % simulation_.daemons();
    }
    each.session = simulation_.open(each.daemon, "fresh");
    each.replies_seen = simulation_.replies(each.daemon, each.session).size();
    each.item.clear();
    each.next_at = simulation_.now() + write_interval;
}

void write_load::advance(caller& each)
{
    if (simulation_.stopped(each.daemon) || simulation_.closed(each.daemon, each.session)) {
        each.daemon = (each.daemon + 1) % simulation_.daemons();
        connect(each);
        return;
    }
    // A reply to the start of the session may come after the first statement was sent.
    const auto& replies = simulation_.replies(each.daemon, each.session);
    const statement_reply* answer = nullptr;
    while (answer == nullptr && each.replies_seen < replies.size()) {
        answer = std::get_if<statement_reply>(&replies[each.replies_seen++].reply);
    }
    if (!each.item.empty() && answer != nullptr) {
        if (!(*answer)->failure) {
            acknowledged_.push_back({.item = each.item, .at = simulation_.now()});
        }
        each.item.clear();
        each.next_at = simulation_.now() + write_interval;
    } else if (each.item.empty() && simulation_.now() >= each.next_at) {
        each.item = "w" + std::to_string(++last_item_);
        simulation_.send(each.daemon, each.session, "WRITE " + each.item);
        each.next_at = simulation_.now() + caller_timeout;
    } else if (!each.item.empty() && simulation_.now() >= each.next_at) {
        simulation_.disconnect(each.daemon, each.session);
        connect(each);
    }
}

std::vector<std::string> write_load::lost() const
{
    const std::map<std::string, gateway_simulation::write_count> writes = simulation_.writes();
    std::vector<std::string> items;
    for (const acknowledged_write& each : acknowledged_) {
        const auto found = writes.find(each.item);
        if (found == writes.end() || found->second.kept == 0) {
            items.push_back(each.item);
        }
    }
    return items;
}

std::size_t write_load::acknowledged_since(instant earliest) const
{
    return static_cast<std::size_t>(std::count_if(acknowledged_.begin(), acknowledged_.end(),
                                                  [earliest](const auto& each) { return each.at >= earliest; }));
}

} // namespace citronfall
