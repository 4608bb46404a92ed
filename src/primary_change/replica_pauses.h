#pragma once

#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "leader/service_state.h"
#include "pool/member_pool.h"
#include "pool/replication_status.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace citronfall {

/// Settings and hooks of replica_pauses. The hooks are called on the decision thread.
struct replica_pauses_options {
    std::string service;
    std::function<service_state&()> state;
    std::function<std::uint32_t()> sync_replicas;
    std::function<result<replication_status>(const std::string& row)> read_status;
    std::function<void(const std::string&, const std::string&)> log; ///< Event name, fields.
};

/// Ends the pauses of the replicas of one service after a change of primary.
///
/// Requests are repeated until a member confirms them. If commits wait for replicas, the members are also looked at
/// from time to time: a pause that had no answer may be carried out after it was ended. Not thread-safe: owned by the
/// decision thread.
class replica_pauses {
public:
    replica_pauses(replica_pauses_options options, member_pool& pool) : options_(std::move(options)), pool_(pool) {}

    /// A change has asked the member to pause.
    void asked(const std::string& member, instant now)
    {
        paused_.insert(member);
        paused_at_ = now;
    }

    /// A request to pause got no answer; it may still be carried out.
    void unanswered(const std::string& member, instant now);

    /// Whether a request to resume may still be carried out, so that the member can receive although it was paused
    /// since.
    [[nodiscard]] bool may_resume(const std::string& member, instant now) const;

    /// Resumes replication on one member, unless that is done or under way.
    void resume(const std::string& member, instant now);

    /// Asks replicas whether they are paused, if that is due. Call it every few tens of milliseconds while replication
    /// must not be resumed yet; tick() does it as well.
    void look_at_replicas(instant now);

    /// Whether a replica was asked to pause, or found paused, since `since`.
    [[nodiscard]] bool paused_since(instant since) const { return paused_at_ && *paused_at_ >= since; }

    /// Resumes replication on the members that may be paused. Call it every few tens of milliseconds while the holder
    /// of the failover lock knows the leader and no promotion can take effect; `fence` is its fencing token.
    void tick(std::uint64_t fence, instant now);

private:
    void on_resumed(const std::string& member, connection_number connection, const exchange_outcome& outcome,
                    instant now);
    void look_at(const std::string& member, instant now);
    void on_status(const std::string& member, connection_number connection, const exchange_outcome& outcome,
                   instant now);

    replica_pauses_options options_;
    member_pool& pool_;
    std::set<std::string> paused_;   ///< Members whose replication may be paused.
    std::set<std::string> resuming_; ///< Those of them with a resume request in flight.
    std::map<std::string, instant>
        may_pause_until_; ///< End of the time in which an unanswered request may be carried out.
    std::map<std::string, instant> may_resume_until_; ///< The same for unanswered requests to resume.
    std::uint64_t resumed_with_fence_ = 0;            ///< Token under which all members were last resumed.
    instant next_look_{};
    std::optional<instant> paused_at_; ///< When a replica was last asked to pause or found paused.
};

} // namespace citronfall
