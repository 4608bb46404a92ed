#include "peer/neighbour_choice.h"

#include <algorithm>
#include <map>
#include <utility>

namespace citronfall {
namespace {

/// Moves the address of a random element that satisfies `fits` from `pool` to `chosen`, unless `chosen` is full.
/// Returns whether it did.
template <class Fits>
bool take_random(std::vector<neighbour_candidate>& pool, std::vector<std::string>& chosen,
                 const neighbour_request& request, Fits fits)
{
    const auto end = std::partition(pool.begin(), pool.end(), fits);
    const auto matching = static_cast<std::uint64_t>(end - pool.begin());
    if (matching == 0 || chosen.size() >= request.count) {
        return false;
    }
    const auto at = pool.begin() + static_cast<std::ptrdiff_t>(request.random(matching));
    chosen.push_back((*at)->address);
    pool.erase(at);
    return true;
}

} // namespace

std::vector<std::string> choose_neighbours(const std::vector<neighbour_candidate>& candidates,
                                           const neighbour_request& request)
{
    std::map<std::string, neighbour_candidate> sorted;
    for (const neighbour_candidate& each : candidates) {
        if (each->address != request.address) {
            sorted.emplace(each->address, each);
        }
    }
    std::vector<neighbour_candidate> usable;
    std::vector<neighbour_candidate> failed;
    for (const auto& [address, each] : sorted) {
        (each->failed ? failed : usable).push_back(each);
    }
    std::vector<std::string> chosen;
    if (!usable.empty() && request.count > 0) {
        const auto after = std::find_if(usable.begin(), usable.end(), [&](const neighbour_candidate& each) {
            return each->address > request.address;
        });
        const auto next = after == usable.end() ? usable.begin() : after;
        chosen.push_back((*next)->address);
        usable.erase(next);
    }
    const auto distant = [&](const neighbour_candidate& each) {
        return !each->data_center.empty() && each->data_center != request.data_center;
    };
    const auto near = [&](const neighbour_candidate& each) {
        return each->data_center == request.data_center;
    };
    const auto any = [](const neighbour_candidate&) {
        return true;
    };
    take_random(usable, chosen, request, distant);
    while (take_random(usable, chosen, request, near)) {
    }
    while (take_random(usable, chosen, request, any)) {
    }
    while (take_random(failed, chosen, request, any)) {
    }
    return chosen;
}

} // namespace citronfall
