#pragma once

#include "citronfall/instant.h"
#include "quota/daemon_count.h"
#include "quota/quota_gate.h"
#include "quota/quota_holder.h"
#include "quota/quota_limit.h"
#include "quota/quota_rule.h"
#include "support/virtual_time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronfall::testing {

/// Load that a tenant offers in a quota_fleet.
struct tenant_load {
    std::string tenant;
    std::function<double(instant)> rate_per_s;               ///< Operations a second; Poisson arrivals.
    std::function<std::size_t(virtual_time&)> choose_daemon; ///< Index of the daemon that gets an operation.
};

/// What became of a tenant's operations.
struct tenant_record {
    std::vector<instant> asked;
    std::vector<instant> admitted;
    std::vector<instant> refused;
    std::vector<duration> waits; ///< Of the admitted operations.
};

/// Daemons with quota gates and holders in virtual time. Messages take a few milliseconds, and a daemon handles one
/// after the other. Locks and registrations are given by the test.
class quota_fleet {
public:
    quota_fleet(std::size_t daemons, std::uint64_t seed);

    [[nodiscard]] virtual_time& time() { return time_; }
    [[nodiscard]] const quota_rule& rule() const { return rule_; }
    [[nodiscard]] std::size_t size() const { return daemons_.size(); }

    /// Puts limits in force on all daemons, on each after a delay of at most `longest_delay`.
    void configure(const std::map<std::string, quota_limit>& limits, duration longest_delay);

    /// Gives the lock of a group to a daemon. The others learn it after up to a second.
    void give_lock(std::uint32_t group, std::size_t daemon);

    /// Takes the lock of a group from its holder, which knows at once (its lease has ended).
    void take_lock(std::uint32_t group);

    /// Index of a group's holder.
    [[nodiscard]] std::optional<std::size_t> holder(std::uint32_t group) const;

    /// Ends a daemon's process.
    void kill(std::size_t daemon);

    /// Starts a daemon's process anew, without any memory. It sees `listed` registered daemons.
    void start(std::size_t daemon, std::size_t listed);

    /// Sets how many registered daemons a daemon sees.
    void list(std::size_t daemon, std::size_t listed);

    /// Cuts the connections between daemons for which `side` differs.
    void cut(std::function<int(std::size_t)> side) { side_ = std::move(side); }

    /// Offers load until `end`.
    void offer(const tenant_load& load, instant end);

    /// Runs until `end`.
    void run_until(instant end);

    /// Operations of a tenant so far.
    [[nodiscard]] const tenant_record& record(const std::string& tenant) { return records_[tenant]; }

    /// Most operations of a tenant that were admitted in any window that begins at `from` or later.
    [[nodiscard]] std::size_t busiest_window(const std::string& tenant, instant from) const;

    /// Operations that the rule allows in a window.
    [[nodiscard]] double allowed(const quota_limit& limit) const;

private:
    struct daemon_state {
        std::string name;
        std::uint64_t run = 0; ///< Messages to earlier runs are lost.
        bool alive = false;
        std::unique_ptr<quota_gate> gate;
        std::unique_ptr<quota_holder> quota;
        daemon_count known;
        std::size_t listed = 0;
        std::size_t applied_count = 0; ///< Number of daemons by which the quotas are divided.
        std::uint64_t version = 0;
        std::map<std::string, quota_limit> limits;
        std::map<std::uint32_t, std::size_t> holders; ///< As seen here.
        instant busy_until{};
    };
    struct waiting {
        std::string tenant;
        instant since{};
    };

    [[nodiscard]] bool linked(std::size_t a, std::size_t b) const { return side_(a) == side_(b); }
    void deliver(std::size_t from, std::size_t to, std::function<void(daemon_state&)> handle);
    void apply_configuration(daemon_state& daemon);
    void hold_locks(std::size_t daemon);
    void arrive(const tenant_load& load, instant end);
    void decided(quota_operation_number operation, const quota_admission& admission);
    void tick_all();

    virtual_time time_;
    quota_rule rule_{{.window = std::chrono::seconds(5), .overage = 0.1, .slack = 20}};
    std::vector<daemon_state> daemons_;
    std::map<std::uint32_t, std::pair<std::size_t, std::uint64_t>> locks_; ///< Holder and fencing token, by group.
    std::uint64_t last_token_ = 0;
    std::uint64_t version_ = 0;
    std::map<std::string, quota_limit> limits_;
    std::function<int(std::size_t)> side_ = [](std::size_t) {
        return 0;
    };
    std::map<std::string, tenant_record> records_;
    std::map<quota_operation_number, waiting> waiting_;
    quota_operation_number last_operation_ = 0;
};

} // namespace citronfall::testing
