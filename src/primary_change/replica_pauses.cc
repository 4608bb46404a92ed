#include "primary_change/replica_pauses.h"

namespace citronfall {
namespace {

/// Interval at which the holder of the failover lock asks replicas whether they are paused. While all of them are,
/// writes are not acknowledged.
constexpr duration look_interval = std::chrono::seconds(2);

/// Time for which a request without an answer may still be carried out. Members and the platform speak of seconds.
constexpr duration max_late_time = std::chrono::seconds(30);

} // namespace

void replica_pauses::unanswered(const std::string& member, instant now)
{
    may_pause_until_[member] = now + max_late_time;
}

bool replica_pauses::may_resume(const std::string& member, instant now) const
{
    const auto found = may_resume_until_.find(member);
    return resuming_.contains(member) || (found != may_resume_until_.end() && now < found->second);
}

/// A new holder of the failover lock resumes all members, because the previous holder may have stopped between pausing
/// and resuming.
void replica_pauses::tick(std::uint64_t fence, instant now)
{
    if (options_.sync_replicas() > 0 && fence != resumed_with_fence_) {
        resumed_with_fence_ = fence;
        for (const std::string& id : pool_.members_of(options_.service)) {
            paused_.insert(id);
        }
    }
    look_at_replicas(now);
    const std::string leader = options_.state().leadership.leader().value_or("");
    std::erase_if(paused_, [&](const std::string& id) { return id == leader || pool_.member(id) == nullptr; });
    for (const std::string& member : paused_) {
        resume(member, now);
    }
}

void replica_pauses::resume(const std::string& member, instant now)
{
    const bool due = paused_.contains(member) && !resuming_.contains(member);
    const connection_number connection = due ? pool_.acquire(member, {}, now) : 0;
    if (connection == 0) {
        return;
    }
    resuming_.insert(member);
    pool_.send_internal(
        connection, {resume_replication{}},
        [this, member, connection](const exchange_outcome& outcome, instant at) {
            on_resumed(member, connection, outcome, at);
        },
        now);
}

void replica_pauses::on_resumed(const std::string& member, connection_number connection,
                                const exchange_outcome& outcome, instant now)
{
    resuming_.erase(member);
    const auto* reply = std::get_if<member_reply>(&outcome);
    if (reply == nullptr) {
        may_resume_until_[member] = now + max_late_time;
        return; // The connection was lost; the next tick retries on another one.
    }
    pool_.release(connection, now);
    const bool busy = (*reply)->failure && (*(*reply)->failure)->kind == error_kind::overloaded;
    if (!busy) {
        paused_.erase(member);
    }
}

void replica_pauses::look_at_replicas(instant now)
{
    if (options_.sync_replicas() == 0 || now < next_look_) {
        return;
    }
    next_look_ = now + look_interval;
    std::erase_if(may_pause_until_, [now](const auto& each) { return each.second <= now; });
    for (const std::string& id : pool_.members_of(options_.service)) {
        if (may_pause_until_.contains(id)) {
            paused_.insert(id); // Its status may not tell yet.
        } else if (options_.state().leadership.leader() != id && !paused_.contains(id)) {
            look_at(id, now);
        }
    }
}

void replica_pauses::look_at(const std::string& member, instant now)
{
    const connection_number connection = pool_.acquire(member, {}, now);
    if (connection == 0) {
        return;
    }
    pool_.send_internal(
        connection, {query_replication_status{}},
        [this, member, connection](const exchange_outcome& outcome, instant at) {
            on_status(member, connection, outcome, at);
        },
        now);
}

void replica_pauses::on_status(const std::string& member, connection_number connection, const exchange_outcome& outcome,
                               instant now)
{
    const auto* reply = std::get_if<member_reply>(&outcome);
    if (reply == nullptr) {
        return;
    }
    pool_.release(connection, now);
    if ((*reply)->failure || (*reply)->rows.empty()) {
        return;
    }
    const auto status = options_.read_status((*reply)->rows.front());
    if (ok(status) && value_of(status)->paused_by > 0) {
        options_.log("replica_paused", "service=" + options_.service + " member=" + member +
                                           " by_term=" + std::to_string(value_of(status)->paused_by));
        paused_at_ = now;
        paused_.insert(member);
    }
}

} // namespace citronfall
