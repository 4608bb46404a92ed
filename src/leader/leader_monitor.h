#pragma once

#include "citronfall/instant.h"
#include "leader/service_state.h"
#include "pool/member_pool.h"

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace citronfall {

/// Hooks of a leader monitor, called on the decision thread.
struct leader_monitor_hooks {
    std::function<service_state&(const std::string&)> service;
    std::function<void(const std::string& service, const std::string& member, const log_position&, instant sent_at,
                       instant now)>
        leadership_proved;
    std::function<void(const std::string& service, const std::string& member, const char* reason, instant now)>
        leadership_lost; ///< The leader is unresponsive, deposed or not listed; the state is already updated.
    std::function<void(const std::string&, const std::string&)> log; ///< Event name, fields.
};

/// Monitors the leader of each service, and searches for the leader where none is known.
///
/// A probe opens a read-write transaction and rolls it back. Only the leader accepts it, it takes no slot on the
/// member, and its answer proves leadership and carries a log position. Regular traffic makes probes unnecessary. Not
/// thread-safe: owned by the decision thread.
class leader_monitor {
public:
    leader_monitor(leader_monitor_hooks hooks, member_pool& pool) : hooks_(std::move(hooks)), pool_(pool) {}

    /// Sends due probes and handles those that timed out, for the services in use. Call it when next() is reached,
    /// after the loss of a leader, and at least every 100 ms, because a new statement may become due for a probe.
    void tick(const std::set<std::string>& services, instant now);

    /// When tick() has to be called next; nothing if no service is in use or only idle leaders are to be probed.
    [[nodiscard]] std::optional<instant> next() const;

    /// Probes a member immediately, for instance because a peer reports that it leads. Without effect while a probe of
    /// the member is in flight or no connection to it is available.
    void probe(const std::string& service, const std::string& member, instant now);

    /// Reports that a member refused a statement that only the leader accepts.
    void refused(const std::string& service, const std::string& member, instant now);

    /// Reports a change in the reachability of a member.
    void reachability_changed(const std::string& service, const std::string& member, member_reachability reachability,
                              instant now);

    /// Reports that this process was stalled until `now`. Probe timeouts count from then on, because answers may have
    /// arrived and not been read yet.
    void note_process_stall(instant now) { timeouts_start_ = now; }

private:
    struct probe_state {
        connection_number connection = 0; ///< 0: no probe in flight.
        instant sent_at{};
        instant next{};
    };

    void watch_leader(const std::string& service, const std::string& leader, instant now);
    void search_leader(const std::string& service, instant now);
    void check_probe_timeouts(instant now);
    void fail_probe(const std::string& member, probe_state& state, instant now);
    [[nodiscard]] instant timeout_of(const probe_state& state) const;
    void note_due(instant due) { search_due_ = search_due_ ? std::min(*search_due_, due) : due; }
    void answered(const std::string& service, const std::string& member, const exchange_outcome& outcome, instant now);

    leader_monitor_hooks hooks_;
    member_pool& pool_;
    std::map<std::string, probe_state> probes_; ///< By member.
    std::set<std::string> probed_;              ///< Members with a probe in flight.
    std::optional<instant> search_due_; ///< Next check of a leader that is searched for, overdue or ahead of replicas.
    instant timeouts_start_{};          ///< Timeouts count from here at the earliest; set after a stall of the process.
};

} // namespace citronfall
