#include "relay/relay_directory.h"

#include "relay/tenant_holders.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Number of a service's assigned daemons to which a daemon that relays its statements stays connected: if one is lost,
/// the other takes over.
constexpr std::size_t relay_targets_used = 2;

/// Number of a service's other assigned daemons to which an assigned daemon stays connected, to ask them before it
/// replaces a primary.
constexpr std::size_t max_connected_assigned = 6;

/// Time for the connection to a pinned daemon to come about, before another takes its place.
constexpr duration max_connecting_time = std::chrono::milliseconds(500);

/// How long a daemon to which no connection came about, or whose connection was lost, is not pinned. Its registration
/// may be listed for longer.
constexpr duration unreachable_time = std::chrono::seconds(4);

const std::vector<std::string> no_daemons{};

/// The first `count` daemons that do not shut down, or the first ones if all do.
std::vector<std::string> first_staying(const std::vector<std::string>& daemons, const std::set<std::string>& leaving,
                                       std::size_t count)
{
    std::vector<std::string> staying;
    for (const std::string& each : daemons) {
        if (!leaving.contains(each) && staying.size() < count) {
            staying.push_back(each);
        }
    }
    if (!staying.empty()) {
        return staying;
    }
    const auto end = daemons.begin() + static_cast<std::ptrdiff_t>(std::min(daemons.size(), count));
    return {daemons.begin(), end};
}

} // namespace

void relay_directory::configure(const std::map<std::string, std::uint32_t>& limits,
                                const std::vector<relay_candidate>& daemons, instant now)
{
    if (limits == limits_ && daemons == daemons_ && !std::exchange(shares_changed_, false)) {
        return;
    }
    limits_ = limits;
    daemons_ = daemons;
    std::vector<relay_candidate> all = daemons;
    all.push_back(self_);
    services_.clear();
    for (const auto& [service, assignment] : make_service_assignments(limits_, all, self_, sharing())) {
        services_[service].assignment = assignment;
    }
    update_connected();
    update_pinned(now);
}

void relay_directory::set_tenant_shares(std::map<std::string, double> shares)
{
    shares_changed_ = shares_changed_ || shares != tenant_shares_;
    tenant_shares_ = std::move(shares);
}

connection_sharing relay_directory::sharing() const
{
    return tenant_shares_.empty() ? connection_sharing::all_sessions : connection_sharing::by_tenant;
}

void relay_directory::connected(const std::string& peer, instant now)
{
    if (peers_.insert(peer).second) {
        update_connected();
    }
    if (unreachable_.erase(peer) > 0) {
        update_pinned(now);
    }
}

void relay_directory::disconnected(const std::string& peer, instant now)
{
    leaving_.erase(peer);
    if (peers_.erase(peer) > 0) {
        unreachable_[peer] = now + unreachable_time;
        update_connected();
        update_pinned(now);
    }
}

void relay_directory::leaves(const std::string& peer, instant now)
{
    if (leaving_.insert(peer).second) {
        update_connected();
        update_pinned(now);
    }
}

bool relay_directory::replace_unreachable(instant now)
{
    bool changed = std::erase_if(unreachable_, [now](const auto& each) { return each.second <= now; }) > 0;
    for (const auto& [daemon, since] : pinned_) {
        if (!peers_.contains(daemon) && now - since >= max_connecting_time) {
            unreachable_[daemon] = now + unreachable_time;
            changed = true;
        }
    }
    if (changed) {
        update_pinned(now);
    }
    return changed;
}

void relay_directory::update_connected()
{
    relays_somewhere_ = false;
    for (auto& [service, entry] : services_) {
        entry.connected.clear();
        entry.tenant_targets.clear();
        for (const std::string& each : entry.assignment->targets) {
            if (peers_.contains(each)) {
                entry.connected.push_back(each);
            }
        }
        entry.targets = first_staying(entry.connected, leaving_, relay_targets_used);
        relays_somewhere_ = relays_somewhere_ || (!entry.assignment->self_assigned && !entry.connected.empty());
    }
}

bool relay_directory::may_pin(const std::string& daemon) const
{
    return !leaving_.contains(daemon) && !unreachable_.contains(daemon);
}

void relay_directory::update_pinned(instant now)
{
    const std::map<std::string, instant> before = std::exchange(pinned_, {});
    for (const auto& [service, entry] : services_) {
        std::size_t missing = entry.assignment->self_assigned ? max_connected_assigned : relay_targets_used;
        if (sharing() == connection_sharing::by_tenant) {
            missing = entry.assignment->targets.size(); // Each of them runs the statements of some tenants.
        }
        for (const std::string& each : entry.assignment->targets) {
            if (missing > 0 && may_pin(each)) {
                const auto known = before.find(each);
                pinned_.emplace(each, known == before.end() ? now : known->second);
                --missing;
            }
        }
    }
}

const relay_directory::service_entry* relay_directory::find(const std::string& service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

bool relay_directory::is_assigned(const std::string& service) const
{
    const service_entry* entry = find(service);
    return entry == nullptr || entry->assignment->self_assigned;
}

std::optional<std::size_t> relay_directory::own_position(const std::string& service) const
{
    const std::vector<std::string>& all = assigned(service);
    const auto own = std::find(all.begin(), all.end(), self_->name);
    return own == all.end() ? std::nullopt : std::optional(static_cast<std::size_t>(own - all.begin()));
}

const std::vector<std::string>& relay_directory::assigned(const std::string& service) const
{
    const service_entry* entry = find(service);
    return entry == nullptr ? no_daemons : entry->assignment->assigned;
}

const std::vector<std::string>& relay_directory::connected_to(const std::string& service) const
{
    const service_entry* entry = find(service);
    return entry == nullptr ? no_daemons : entry->connected;
}

const std::vector<std::string>& relay_directory::targets(const std::string& service) const
{
    const service_entry* entry = find(service);
    return entry == nullptr ? no_daemons : entry->targets;
}

const std::vector<std::string>& relay_directory::targets(const std::string& service, const std::string& tenant)
{
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return no_daemons;
    }
    if (sharing() == connection_sharing::all_sessions) {
        return found->second.targets;
    }
    const auto [place, added] = found->second.tenant_targets.try_emplace(tenant);
    if (added) {
        place->second = tenant_targets(service, found->second, tenant);
    }
    return place->second;
}

/// The daemons that run the tenant's statements, of those that this daemon can use: where one is lost, the next in
/// order takes its place.
std::vector<std::string> relay_directory::tenant_targets(const std::string& service, const service_entry& entry,
                                                         const std::string& tenant) const
{
    const auto share = tenant_shares_.find(tenant);
    const std::vector<std::string>& assigned = entry.assignment->assigned;
    std::size_t missing = tenant_holder_count(share == tenant_shares_.end() ? 0 : share->second, assigned.size());
    std::vector<std::string> chosen;
    for (const std::string& each : tenant_holder_order(service, tenant, assigned)) {
        if (missing == 0) {
            break;
        }
        if (each == self_->name) {
            return {};
        }
        if (peers_.contains(each) && !leaving_.contains(each)) {
            chosen.push_back(each);
            --missing;
        }
    }
    // The daemons that relay differ in the one that they prefer, as for statements without a tenant.
    std::vector<std::string> preferred;
    for (const std::string& each : entry.connected) {
        if (std::find(chosen.begin(), chosen.end(), each) != chosen.end()) {
            preferred.push_back(each);
        }
    }
    return preferred;
}

} // namespace citronfall
