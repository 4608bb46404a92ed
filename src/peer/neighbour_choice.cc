#include "peer/neighbour_choice.h"

#include <algorithm>
#include <map>
#include <utility>

namespace citronfall {
namespace {

/// Moves the address of a random element that satisfies `matches` from `remaining` to `chosen`, unless `chosen` is
/// full. Returns whether it did.
template <class Predicate>
bool take_random(std::vector<neighbour_candidate>& remaining, std::vector<std::string>& chosen,
                 const neighbour_criteria& criteria, Predicate matches)
{
    const auto end = std::partition(remaining.begin(), remaining.end(), matches);
    const auto matching = static_cast<std::uint64_t>(end - remaining.begin());
    if (matching == 0 || chosen.size() >= criteria.count) {
        return false;
    }
    const auto at = remaining.begin() + static_cast<std::ptrdiff_t>(criteria.random(matching));
    chosen.push_back((*at)->address);
    remaining.erase(at);
    return true;
}

} // namespace

std::vector<std::string> choose_neighbours(const std::vector<neighbour_candidate>& candidates,
                                           const neighbour_criteria& criteria)
{
    std::map<std::string, neighbour_candidate> sorted;
    for (const neighbour_candidate& each : candidates) {
        if (each->address != criteria.address) {
            sorted.emplace(each->address, each);
        }
    }
    std::vector<neighbour_candidate> usable;
    std::vector<neighbour_candidate> failed;
    for (const auto& [address, each] : sorted) {
        (each->failed ? failed : usable).push_back(each);
    }
    std::vector<std::string> chosen;
    if (!usable.empty() && criteria.count > 0) {
        const auto after = std::find_if(usable.begin(), usable.end(), [&](const neighbour_candidate& each) {
            return each->address > criteria.address;
        });
        const auto next = after == usable.end() ? usable.begin() : after;
        chosen.push_back((*next)->address);
        usable.erase(next);
    }
    const auto in_other_data_center = [&](const neighbour_candidate& each) {
        return !each->data_center.empty() && each->data_center != criteria.data_center;
    };
    const auto in_same_data_center = [&](const neighbour_candidate& each) {
        return each->data_center == criteria.data_center;
    };
    const auto any = [](const neighbour_candidate&) {
        return true;
    };
    take_random(usable, chosen, criteria, in_other_data_center);
    while (take_random(usable, chosen, criteria, in_same_data_center)) {
    }
    while (take_random(usable, chosen, criteria, any)) {
    }
    while (take_random(failed, chosen, criteria, any)) {
    }
    return chosen;
}

} // namespace citronfall
