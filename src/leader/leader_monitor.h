#pragma once

#include "citronfall/instant.h"
#include "leader/service_state.h"
#include "pool/member_pool.h"

#include <functional>
#include <map>
#include <set>
#include <string>

namespace citronfall {

/// Hooks of a lead monitor; all are called on the decision thread.
struct leader_monitor_hooks {
    std::function<service_state&(const std::string&)> service;
    std::function<void(const std::string& service, const std::string& member, const log_position&, instant sent_at,
                       instant now)>
        leadership_proved;
    std::function<void(const std::string& service, const std::string& member, const char* reason, instant now)>
        leadership_lost; ///< The leader does not answer or does not lead; `leadership` is updated already.
    std::function<void(const std::string&, const std::string&)> log; ///< Event and its fields.
};

/// Watches the leader of each service and looks for one where none is known.
///
/// A probe opens a transaction that may write and rolls it back: it takes no slot of the member, only the leader
/// accepts it, and its answer is evidence. While traffic flows no probe is needed. Not thread-safe: owned by the
/// decision thread.
class leader_monitor {
public:
    leader_monitor(leader_monitor_hooks hooks, member_pool& pool) : hooks_(std::move(hooks)), pool_(pool) {}

    /// Sends probes that are due and draws conclusions from those without an answer. To be called every few tens of
    /// milliseconds with the services in use.
    void tick(const std::set<std::string>& services, instant now);

    /// Probes a member at once, because a peer names it as the leader or misses it.
    void probe(const std::string& service, const std::string& member, instant now);

    /// A member refused a statement that only the leader accepts.
    void refused(const std::string& service, const std::string& member, instant now);

    /// The reach of a member changed.
    void reachability_changed(const std::string& service, const std::string& member, member_reachability reachability,
                              instant now);

    /// This process stood still until `now`: answers may wait unread, so silence until now proves nothing.
    void note_process_stall(instant now) { judged_from_ = now; }

private:
    struct probe_state {
        connection_number connection = 0; ///< 0: no probe in progress.
        instant sent_at{};
        instant next{};
    };

    void watch_leader(const std::string& service, const std::string& leader, instant now);
    void search(const std::string& service, instant now);
    void judge(const std::string& member, probe_state& state, instant now);
    void answered(const std::string& service, const std::string& member, const exchange_outcome& outcome, instant now);

    leader_monitor_hooks hooks_;
    member_pool& pool_;
    std::map<std::string, probe_state> probes_; ///< By member.
    instant judged_from_{};
};

} // namespace citronfall
