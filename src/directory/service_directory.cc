#include "directory/service_directory.h"

#include "registration/fencing_token.h"

#include <algorithm>
#include <utility>

namespace citronfall {

void service_directory::apply(const store_item& item, store_era era, const member_departure& departure)
{
    const auto key_suffix = [&item](const std::string& prefix) -> std::optional<std::string> {
        if (!item->key.starts_with(prefix)) {
            return std::nullopt;
        }
        return item->key.substr(prefix.size());
    };
    if (item->key == options_.keys.configuration) {
        apply_configuration(item);
    } else if (const auto id = key_suffix(options_.keys.members)) {
        apply_member(*id, item, era, departure);
    } else if (const auto name = key_suffix(options_.keys.daemons)) {
        apply_daemon(*name, item);
    } else if (const auto service = key_suffix(options_.keys.failover_locks)) {
        apply_failover_lock(*service, item, era);
    }
}

void service_directory::apply_configuration(const store_item& item)
{
    if (item->deleted) {
        return;
    }
    auto read = options_.read_service_configuration(item->value);
    if (!ok(read)) {
        note_unreadable(error_of(read));
        return;
    }
    const service_configuration& newer = value_of(read);
    if (configuration_ && newer->version <= (*configuration_)->version) {
        return;
    }
    options_.log("configuration_in_force",
                 "version=" + std::to_string(newer->version) +
                     " before=" + std::to_string(configuration_ ? (*configuration_)->version : 0) +
                     " routes=" + std::to_string(newer->routes.size()) + " revision=" + std::to_string(item->revision));
    configuration_ = std::make_shared<const service_configuration>(take(std::move(read)));
    used_services_.clear();
    for (const auto& [database, each] : (*configuration_)->routes) {
        used_services_.insert(each->service);
    }
}

void service_directory::apply_member(const std::string& id, const store_item& item, store_era era,
                                     const member_departure& departure)
{
    if (item->deleted) {
        options_.log("member_gone", "member=" + id + " revision=" + std::to_string(item->revision));
        if (members_.contains(id)) {
            departing_[id] = departure;
        } else {
            drains_.erase(id);
        }
        return;
    }
    departing_.erase(id);
    auto read = options_.read_member(id, item->value);
    if (!ok(read)) {
        note_unreadable(error_of(read));
        members_.erase(id);
        return;
    }
    const member_registration entry = keep_draining(value_of(read), era);
    options_.log("member_listed", "member=" + id + " service=" + entry->service + " address=" + entry->address +
                                      " draining=" + (entry->draining ? "yes" : "no") +
                                      " primary=" + (entry->reports_primary ? "yes" : "no") +
                                      " revision=" + std::to_string(item->revision));
    members_[id] = entry;
}

/// The entry to use in place of `entry`, which may be from before a drain that was reported in an earlier era.
member_registration service_directory::keep_draining(const member_registration& entry, store_era era)
{
    if (entry->draining) {
        drains_.insert_or_assign(entry->id, reported_drain{.era = era, .started_at_ms = entry->started_at_ms});
        return entry;
    }
    const auto drain = drains_.find(entry->id);
    if (drain == drains_.end()) {
        return entry;
    }
    if (drain->second.era < era && drain->second.started_at_ms == entry->started_at_ms) {
        return with(entry, [](member_registration_fields& fields) { fields.draining = true; });
    }
    drains_.erase(drain);
    return entry;
}

void service_directory::apply_daemon(const std::string& name, const store_item& item)
{
    if (item->deleted) {
        options_.log("daemon_gone", "daemon=" + name + " revision=" + std::to_string(item->revision));
        daemons_.erase(name);
        return;
    }
    auto read = options_.read_daemon(name, item->value);
    if (!ok(read)) {
        note_unreadable(error_of(read));
        return;
    }
    options_.log("daemon_listed", "daemon=" + name + " address=" + value_of(read)->peer_address +
                                      " revision=" + std::to_string(item->revision));
    daemons_[name] = take(std::move(read));
}

void service_directory::apply_failover_lock(const std::string& service, const store_item& item, store_era era)
{
    if (item->deleted) {
        options_.log("duty_free", "service=" + service + " revision=" + std::to_string(item->revision));
        failover_locks_.erase(service);
        return;
    }
    auto read = options_.read_failover_lock(service, item->value);
    if (!ok(read)) {
        note_unreadable(error_of(read));
        return;
    }
    const failover_lock held = with(value_of(read), [&](failover_lock_fields& fields) {
        fields.acquired_at = {.era = era, .revision = item->revision};
        fields.lease = item->lease;
    });
    options_.log("duty_held", "service=" + service + " holder=" + held->holder +
                                  " fence=" + std::to_string(fencing_token(held->acquired_at)) +
                                  " revision=" + to_text(held->acquired_at));
    failover_locks_.insert_or_assign(service, held);
}

void service_directory::note_unreadable(const error& problem)
{
    ++unreadable_total_;
    options_.log("entry_unreadable", "reason=\"" + problem->detail + "\"");
}

bool service_directory::expire(instant now)
{
    bool changed = false;
    for (auto each = departing_.begin(); each != departing_.end();) {
        member_registration& entry = members_.at(each->first);
        if (now >= each->second.drain_at && !entry->draining) {
            entry = with(entry, [](member_registration_fields& fields) { fields.draining = true; });
            options_.log("member_treated_as_draining", "member=" + each->first);
            changed = true;
        }
        if (now < each->second.remove_at) {
            ++each;
            continue;
        }
        options_.log("member_removed", "member=" + each->first);
        members_.erase(each->first);
        drains_.erase(each->first);
        each = departing_.erase(each);
        changed = true;
    }
    return changed;
}

std::optional<instant> service_directory::next_expiry() const
{
    std::optional<instant> due;
    for (const auto& [id, departure] : departing_) {
        const instant next = members_.at(id)->draining ? departure.remove_at : departure.drain_at;
        due = due ? std::min(*due, next) : next;
    }
    return due;
}

const route* service_directory::find_route(const std::string& database) const
{
    if (!configuration_) {
        return nullptr;
    }
    const auto found = (*configuration_)->routes.find(database);
    return found == (*configuration_)->routes.end() ? nullptr : &found->second;
}

} // namespace citronfall
