#include "leader/leader_monitor.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// A leader is probed after this long without an answer. Bounds the age of the newest known position, which replica
/// reads depend on, and the time to detect a failed leader when there is no traffic.
constexpr duration max_idle_time = std::chrono::milliseconds(500);

/// The leader is probed if a statement has been unanswered for this long and nothing else was answered either; most
/// statements take a few tens of milliseconds.
constexpr duration slow_answer_time = std::chrono::milliseconds(200);

/// Interval of probes while a replica lags. Its reads then depend on the oldest observation that their staleness bound
/// permits: if a gap between two observations makes that one newer, the replica cannot serve the read until later, by
/// up to the length of the gap.
constexpr duration lagging_probe_interval = std::chrono::milliseconds(80);

/// Lag from which a replica counts as lagging.
constexpr duration lagging_threshold = std::chrono::milliseconds(150);

/// Time for a member to answer a probe. A live member takes one round trip; the rest allows for an overloaded instance.
constexpr duration probe_timeout = std::chrono::milliseconds(300);

/// Interval of probes to one member while no leader is known.
constexpr duration search_interval = std::chrono::milliseconds(40);

/// Interval of attempts to probe a member to which no connection is idle.
constexpr duration retry_interval = std::chrono::milliseconds(20);

} // namespace

void leader_monitor::tick(const std::set<std::string>& services, instant now)
{
    search_due_.reset();
    check_probe_timeouts(now);
    for (const std::string& service : services) {
        const auto leader = hooks_.service(service).leadership.leader();
        if (leader) {
            watch_leader(service, *leader, now);
        } else {
            search_leader(service, now);
        }
    }
}

void leader_monitor::check_probe_timeouts(instant now)
{
    const std::set<std::string> probed = probed_;
    for (const std::string& member : probed) {
        probe_state& state = probes_[member];
        if (now >= timeout_of(state)) {
            fail_probe(member, state, now);
        }
    }
}

instant leader_monitor::timeout_of(const probe_state& state) const
{
    return std::max(state.sent_at, timeouts_start_) + probe_timeout;
}

std::optional<instant> leader_monitor::next() const
{
    std::optional<instant> due = search_due_;
    for (const std::string& member : probed_) {
        const instant timeout = timeout_of(probes_.at(member));
        due = due ? std::min(*due, timeout) : timeout;
    }
    return due;
}

void leader_monitor::fail_probe(const std::string& member, probe_state& state, instant now)
{
    probed_.erase(member);
    const connection_number connection = std::exchange(state.connection, 0);
    hooks_.log("probe_unanswered",
               "member=" + member + " sent_ms_ago=" + std::to_string((now - state.sent_at).count() / 1000));
    pool_.discard(connection, now);
    pool_.unanswered(member, state.sent_at, now);
}

void leader_monitor::watch_leader(const std::string& service, const std::string& leader, instant now)
{
    const pooled_member* member = pool_.member(leader);
    if (member == nullptr) {
        if (hooks_.service(service).leadership.lost(leader, now)) {
            hooks_.leadership_lost(service, leader, "not_listed", now);
        }
        return;
    }
    const auto answered_at = member->health.answered_at();
    const instant idle_at = answered_at ? *answered_at + max_idle_time : now;
    std::optional<instant> overdue_at;
    if (const auto oldest = pool_.oldest_exchange_sent_at(leader)) {
        const instant unanswered_since = std::max(*oldest, timeouts_start_);
        overdue_at = std::max(unanswered_since, answered_at.value_or(unanswered_since)) + slow_answer_time;
    }
    const service_state& state = hooks_.service(service);
    const bool lagging = std::any_of(state.replica_lags.begin(), state.replica_lags.end(),
                                     [](const auto& each) { return each.second.lag() > lagging_threshold; });
    const auto newest_position = state.primary_positions.newest();
    const instant positions_old_at =
        newest_position ? *newest_position + (lagging ? lagging_probe_interval : max_idle_time) : now;
    if (now >= std::min({idle_at, positions_old_at, overdue_at.value_or(idle_at)})) {
        probe(service, leader, now);
    }
    // Probes of an idle leader wait for the next tick, so that those of many services cause no ticks of their own.
    if (overdue_at) {
        note_due(std::max(*overdue_at, now + retry_interval));
    }
    if (lagging) {
        note_due(std::max(positions_old_at, now + retry_interval));
    }
}

void leader_monitor::search_leader(const std::string& service, instant now)
{
    for (const std::string& member : pool_.members_of(service)) {
        if (now >= probes_[member].next) {
            probe(service, member, now);
        }
        note_due(std::max(probes_[member].next, now + retry_interval));
    }
}

void leader_monitor::probe(const std::string& service, const std::string& member, instant now)
{
    probe_state& state = probes_[member];
    if (state.connection != 0) {
        return;
    }
    const connection_number connection = pool_.acquire(member, {.lost = {}}, now);
    if (connection == 0) {
        return;
    }
    state.connection = connection;
    state.sent_at = now;
    state.next = now + search_interval;
    probed_.insert(member);
    pool_.send_internal(
        connection, {begin_read_write{}},
        [this, service, member](const exchange_outcome& outcome, instant at) {
            answered(service, member, outcome, at);
        },
        now);
}

void leader_monitor::answered(const std::string& service, const std::string& member, const exchange_outcome& outcome,
                              instant now)
{
    probe_state& state = probes_[member];
    const connection_number connection = std::exchange(state.connection, 0);
    probed_.erase(member);
    const auto* reply = std::get_if<member_reply>(&outcome);
    if (reply == nullptr) {
        return;
    }
    pool_.release(connection, now);
    if ((*reply)->failure) {
        if ((*(*reply)->failure)->kind == error_kind::not_primary) {
            refused(service, member, now);
        }
    } else if ((*reply)->position) {
        hooks_.leadership_proved(service, member, *(*reply)->position, state.sent_at, now);
    }
}

void leader_monitor::refused(const std::string& service, const std::string& member, instant now)
{
    if (hooks_.service(service).leadership.lost(member, now)) {
        hooks_.leadership_lost(service, member, "refused", now);
    }
}

void leader_monitor::reachability_changed(const std::string& service, const std::string& member,
                                          member_reachability reachability, instant now)
{
    const bool gone = reachability == member_reachability::silent || reachability == member_reachability::down;
    if (gone && hooks_.service(service).leadership.lost(member, now)) {
        hooks_.leadership_lost(service, member, member_reachability_name(reachability), now);
    }
}

} // namespace citronfall
