#include "mirror/watcher_choice.h"

#include "relay/assigned_daemons.h"

#include <algorithm>
#include <map>
#include <utility>

namespace citronfall {
namespace {

/// Up to this many daemons all watch the store: their calls cost little, and no change depends on a peer.
constexpr std::size_t max_all_watch = 8;

/// Watchers of all data centres together, at least, since several may be lost at once.
constexpr std::size_t min_watchers = 4;

/// Daemons of a data centre for each of its watchers, which sends each of its followers a digest every second.
constexpr std::size_t daemons_per_watcher = 24;

/// Watchers that a daemon stays connected to, so that it learns of changes when one is lost.
constexpr std::size_t followed_count = 2;

/// Other watchers that a watcher stays connected to.
constexpr std::size_t max_connected_watchers = 10;

/// Name under which daemons are ranked for watching.
constexpr const char* rank_key = "store watcher";

/// Adds the names that rank lowest for `key` to `chosen`, until that has `count`.
void add_lowest(std::set<std::string>& chosen, const std::string& key, const std::vector<std::string>& names,
                std::size_t count)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    for (const std::string& each : names) {
        ranked.emplace_back(rendezvous_rank(key, each), each);
    }
    std::sort(ranked.begin(), ranked.end());
    for (const auto& [rank, name] : ranked) {
        if (chosen.size() < count) {
            chosen.insert(name);
        }
    }
}

/// The daemons whose capacity is not below the median.
std::vector<std::string> names_of_upper_half(std::vector<watcher_candidate> daemons)
{
    const auto middle = daemons.begin() + static_cast<std::ptrdiff_t>(daemons.size() / 2);
    std::nth_element(daemons.begin(), middle, daemons.end(),
                     [](const auto& a, const auto& b) { return a->capacity < b->capacity; });
    const double median = (*middle)->capacity;
    std::vector<std::string> names;
    for (const watcher_candidate& each : daemons) {
        if (each->capacity >= median) {
            names.push_back(each->name);
        }
    }
    return names;
}

} // namespace

std::set<std::string> choose_watchers(const std::vector<watcher_candidate>& daemons)
{
    if (daemons.size() <= max_all_watch) {
        return {};
    }
    std::map<std::string, std::vector<watcher_candidate>> by_data_center;
    for (const watcher_candidate& each : daemons) {
        by_data_center[each->data_center].push_back(each);
    }
    const std::size_t least = (min_watchers + by_data_center.size() - 1) / by_data_center.size();
    std::set<std::string> watchers;
    for (const auto& [data_center, members] : by_data_center) {
        std::set<std::string> chosen;
        add_lowest(chosen, rank_key, names_of_upper_half(members),
                   std::max(least, members.size() / daemons_per_watcher));
        watchers.merge(chosen);
    }
    return watchers;
}

std::set<std::string> followed_watchers(const std::vector<watcher_candidate>& watchers, const watcher_candidate& self)
{
    std::vector<std::string> near;
    std::vector<std::string> all;
    bool watches = false;
    for (const watcher_candidate& each : watchers) {
        if (each->name == self->name) {
            watches = true;
            continue;
        }
        all.push_back(each->name);
        if (each->data_center == self->data_center) {
            near.push_back(each->name);
        }
    }
    std::set<std::string> followed;
    if (watches) {
        add_lowest(followed, self->name, all, max_connected_watchers);
    } else {
        add_lowest(followed, self->name, near, followed_count);
        if (followed.size() < followed_count) {
            add_lowest(followed, self->name, all, followed_count);
        }
    }
    return followed;
}

} // namespace citronfall
