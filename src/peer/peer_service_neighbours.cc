#include "core/endpoint_address.h"
#include "peer/neighbour_choice.h"
#include "peer/peer_service_impl.h"

#include <algorithm>
#include <vector>

namespace citronfall {
namespace {

using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

/// Interval of these passes while nothing changes.
constexpr duration maintenance_interval = std::chrono::seconds(1);

std::optional<tcp::endpoint> endpoint_of(const std::string& address)
{
    const auto read = endpoint_address::make(address);
    if (!ok(read)) {
        return std::nullopt;
    }
    return tcp::endpoint(boost::asio::ip::make_address(value_of(read)->host), value_of(read)->port);
}

} // namespace

void peer_service::impl::maintain()
{
    close_retired_links();
    open_neighbours();
    maintenance_at_ = {};
    schedule_maintenance(next_maintenance(steady_now()));
}

/// Makes the next pass happen at `at` at the latest.
void peer_service::impl::schedule_maintenance(instant at)
{
    if (maintenance_at_ != instant{} && maintenance_at_ <= at) {
        return;
    }
    maintenance_at_ = at;
    maintenance_timer_.expires_after(std::max(at - steady_now(), duration{}));
    maintenance_timer_.async_wait([this](error_code code) {
        if (!code) {
            maintain();
        }
    });
}

/// When the next pass has something to do, as far as it is known.
instant peer_service::impl::next_maintenance(instant now) const
{
    instant due = now + maintenance_interval;
    for (const auto& [number, each] : links_) {
        due = std::min(due, each.retire_at.value_or(due));
    }
    for (const auto& [address, each] : candidates_) {
        const bool wanted = each.link == 0 && each.next_attempt > now && !peers_.contains(each.daemon);
        due = wanted ? std::min(due, each.next_attempt) : due;
    }
    return std::max(due, now + maintenance_delay);
}

std::size_t peer_service::impl::neighbour_count() const
{
    // A chosen neighbour that connected to this daemon first needs no second connection.
    return static_cast<std::size_t>(std::count_if(candidates_.begin(), candidates_.end(), [](const auto& each) {
        return each.second.link != 0 || each.second.inbound;
    }));
}

void peer_service::impl::open_neighbours()
{
    const instant now = steady_now();
    for (const std::string& address : pinned_) {
        const auto found = candidates_.find(address);
        if (found != candidates_.end() && found->second.link == 0 && found->second.next_attempt <= now &&
            !peers_.contains(found->second.daemon)) {
            open_link(address);
        }
    }
    const std::size_t neighbours = neighbour_count();
    if (neighbours >= options_.max_neighbours) {
        return;
    }
    std::vector<neighbour_candidate> unconnected;
    for (const auto& [address, each] : candidates_) {
        if (each.link == 0 && each.next_attempt <= now && !peers_.contains(each.daemon)) {
            unconnected.push_back(neighbour_candidate{
                {.address = address, .data_center = each.data_center, .failed = each.failures > 0}});
        }
    }
    for (const std::string& address : choose_neighbours(unconnected, {.address = options_.listen,
                                                                     .data_center = options_.self->data_center,
                                                                     .count = options_.max_neighbours - neighbours,
                                                                     .random = options_.random})) {
        open_link(address);
    }
}

void peer_service::impl::open_link(const std::string& address)
{
    const auto endpoint = endpoint_of(address);
    if (!endpoint) {
        candidates_.erase(address);
        return;
    }
    const auto number = add_link(tcp::socket(context_), address);
    candidates_[address].link = number;
    links_.at(number).connection->connect(*endpoint, options_.connect_timeout);
}

void peer_service::impl::handle(const peer_candidates& candidates)
{
    pinned_ = {candidates->pinned.begin(), candidates->pinned.end()};
    std::set<std::string> known(options_.seeds.begin(), options_.seeds.end());
    known.insert(candidates->addresses.begin(), candidates->addresses.end());
    // The list lags, so a neighbour that is missing from it is kept while it is connected.
    std::erase_if(candidates_, [&](const auto& each) { return !known.contains(each.first) && each.second.link == 0; });
    for (const std::string& address : known) {
        candidates_[address];
    }
    schedule_maintenance(steady_now() + maintenance_delay);
}

} // namespace citronfall
