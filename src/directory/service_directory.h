#pragma once

#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "citronfall/store_item.h"
#include "citronfall/store_revision.h"
#include "deployment/member_registration.h"
#include "deployment/service_configuration.h"
#include "registration/daemon_registration.h"
#include "registration/failover_lock.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace citronfall {

/// Keys and key prefixes in the store.
struct service_directory_keys {
    std::string configuration;  ///< Complete key.
    std::string members;        ///< Prefix, followed by a member's id.
    std::string daemons;        ///< Prefix, followed by a daemon's name.
    std::string failover_locks; ///< Prefix of failover locks, followed by a service's name.
};

/// Settings and hooks of a service directory. The hooks are called on the decision thread.
struct service_directory_options {
    service_directory_keys keys;
    std::function<result<service_configuration>(std::string_view value)> read_service_configuration;
    std::function<result<member_registration>(std::string_view id, std::string_view value)> read_member;
    std::function<result<daemon_registration>(std::string_view name, std::string_view value)> read_daemon;
    std::function<result<failover_lock>(std::string_view service, std::string_view value)> read_failover_lock;
    std::function<void(const std::string&, const std::string&)> log; ///< Event name, fields.
};

/// When a member whose registration was deleted stops being used. The member may be alive and register again: its
/// registration also expires when the member cannot reach the store or the store had an outage.
struct member_departure {
    instant drain_at{};  ///< Treated as draining from then on.
    instant remove_at{}; ///< Removed from the list of members then.
};

/// Decoded contents of the store: the configuration in force, the members, the daemons and the failover locks.
///
/// The configuration is only replaced by a higher version. A member that reported a drain in an earlier era of the
/// store stays draining until it restarts, whatever a restored store says. Malformed entries are logged and counted.
/// Not thread-safe: owned by the decision thread.
class service_directory {
public:
    explicit service_directory(service_directory_options options) : options_(std::move(options)) {}

    /// Applies one changed item of the store's `era`. If it is the deletion of a member, `departure` states when the
    /// member is removed.
    void apply(const store_item& item, store_era era, const member_departure& departure);

    /// Drains and removes deleted members that are due. Returns whether any member changed.
    bool expire(instant now);

    /// When expire() has to be called next; nothing if no deleted member is left.
    [[nodiscard]] std::optional<instant> next_expiry() const;

    /// The configuration in force; null before the first. It never changes, so other threads may keep it.
    [[nodiscard]] const std::shared_ptr<const service_configuration>& configuration() const { return configuration_; }

    /// Services with a route in the configuration in force.
    [[nodiscard]] const std::set<std::string>& used_services() const { return used_services_; }

    /// Members by id.
    [[nodiscard]] const std::map<std::string, member_registration>& members() const { return members_; }

    /// Daemons by name.
    [[nodiscard]] const std::map<std::string, daemon_registration>& daemons() const { return daemons_; }

    /// Failover locks that are held, by service.
    [[nodiscard]] const std::map<std::string, failover_lock>& failover_locks() const { return failover_locks_; }

    /// The route of a database in the configuration in force, or null.
    [[nodiscard]] const route* find_route(const std::string& database) const;

    /// Number of malformed entries so far.
    [[nodiscard]] std::uint64_t unreadable_total() const { return unreadable_total_; }

private:
    /// A drain that a member reported.
    struct reported_drain {
        store_era era = 0;
        std::int64_t started_at_ms = 0; ///< Start of the member's run that drains.
    };

    void apply_configuration(const store_item& item);
    void apply_member(const std::string& id, const store_item& item, store_era era, const member_departure& departure);
    [[nodiscard]] member_registration keep_draining(const member_registration& entry, store_era era);
    void apply_daemon(const std::string& name, const store_item& item);
    void apply_failover_lock(const std::string& service, const store_item& item, store_era era);
    void note_unreadable(const error& problem);

    service_directory_options options_;
    std::shared_ptr<const service_configuration> configuration_;
    std::set<std::string> used_services_;
    std::map<std::string, member_registration> members_;
    std::map<std::string, member_departure> departing_; ///< Deleted members that are still listed.
    std::map<std::string, reported_drain> drains_;      ///< By member.
    std::map<std::string, daemon_registration> daemons_;
    std::map<std::string, failover_lock> failover_locks_;
    std::uint64_t unreadable_total_ = 0;
};

} // namespace citronfall
