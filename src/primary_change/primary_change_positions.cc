#include "primary_change/primary_change.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace citronfall {
namespace {

/// Interval of checks whether the successor has received the whole log. They take no slot on the member.
constexpr duration catch_up_interval = std::chrono::milliseconds(10);

} // namespace

/// Reachable members that could be promoted. Draining members count only if `draining_too` is set.
std::vector<std::string> primary_change::promotion_candidates(bool draining_too) const
{
    const std::string& last = options_.state().leadership.last_leader();
    std::vector<std::string> list;
    for (const std::string& id : pool_.members_of(options_.service)) {
        const pooled_member& each = *pool_.member(id);
        const bool reachable = each.health.reachability() == member_reachability::reachable;
        if (id != last && reachable && (draining_too || !each.entry->draining)) {
            list.push_back(id);
        }
    }
    return list;
}

/// Replicas that are asked for their positions. If commits wait for replicas these are all that count for that,
/// draining ones too: one of them may hold a commit that no other replica has received.
std::vector<std::string> primary_change::asked_replicas() const
{
    if (options_.sync_replicas() > 0) {
        return promotion_candidates(true);
    }
    auto asked = promotion_candidates(false);
    return asked.empty() ? promotion_candidates(true) : asked;
}

/// Whether a member is the former primary: the last known leader or, for a daemon that never knew one, a member that
/// can't be reached and reported itself as primary.
bool primary_change::is_former_primary(const std::string& id) const
{
    const std::string& last = options_.state().leadership.last_leader();
    if (!last.empty()) {
        return id == last;
    }
    const pooled_member& member = *pool_.member(id);
    return member.entry->reports_primary && member.health.reachability() != member_reachability::reachable;
}

/// Number of replicas that must report their positions. With r replicas, of which s must hold each commit, any r - s +
/// 1 of them include one that holds every commit.
std::size_t primary_change::required_positions() const
{
    const std::uint32_t sync = options_.sync_replicas();
    if (sync == 0) {
        return 1;
    }
    const std::vector<std::string>& members = pool_.members_of(options_.service);
    const auto former =
        std::count_if(members.begin(), members.end(), [this](const std::string& id) { return is_former_primary(id); });
    // Two members that report themselves as primary: only one was the last, and the other one may hold commits.
    const std::size_t replicas = members.size() - (former == 1 ? 1 : 0);
    return replicas + 1 > sync ? std::max<std::size_t>(replicas + 1 - sync, 1) : 1;
}

void primary_change::ask_positions(instant now)
{
    if (!in_progress()) {
        started_at_ = now;
    }
    positions_.clear();
    final_position_.reset();
    successor_.clear();
    const std::vector<std::string> asked = asked_replicas();
    positions_asked_ = asked.size();
    for (const std::string& member : asked) {
        query_position(member, now);
    }
}

void primary_change::query_position(const std::string& member, instant now)
{
    const connection_number connection = pool_.acquire(member, {}, now);
    if (connection == 0) {
        return;
    }
    member_statement status_query = query_replication_status{};
    term_number pause_term = 0;
    if (options_.sync_replicas() > 0) {
        // If replication went on, the old primary could still acknowledge commits after this position was read.
        pause_term = options_.state().leadership.term() + 1;
        status_query = pause_replication{.term = pause_term};
        pauses_.asked(member, now);
    }
    pool_.send_internal(
        connection, {status_query},
        [this, member, connection, pause_term](const exchange_outcome& outcome, instant at) {
            on_position(member, connection, pause_term, outcome, at);
        },
        now);
}

void primary_change::on_position(const std::string& member, connection_number connection, term_number pause_term,
                                 const exchange_outcome& outcome, instant now)
{
    const auto* reply = std::get_if<member_reply>(&outcome);
    if (reply == nullptr) {
        if (pause_term > 0) {
            pauses_.unanswered(member, now);
        }
        return;
    }
    pool_.release(connection, now);
    std::optional<log_position> position;
    if (!(*reply)->failure && !(*reply)->rows.empty()) {
        const auto status = options_.read_status((*reply)->rows.front());
        if (ok(status)) {
            options_.state().leadership.observe_term(value_of(status)->term);
            if (value_of(status)->term >= pause_term && value_of(status)->paused_by < pause_term && pause_term > 0) {
                // The member knows a newer term, so it still receives. The next request carries a higher one.
                options_.log("pause_ineffective", "service=" + options_.service + " member=" + member +
                                                      " pause_term=" + std::to_string(pause_term) +
                                                      " term=" + std::to_string(value_of(status)->term));
                return;
            }
            position = value_of(status)->received;
        }
    } else if (options_.sync_replicas() == 0) {
        position = (*reply)->position; // A busy member reports its position with the error.
    }
    if (!position) {
        return;
    }
    options_.log("position_told", "service=" + options_.service + " member=" + member + " position=" +
                                      std::to_string((*position)->term) + "." + std::to_string((*position)->index));
    positions_[member] = *position;
    if (positions_.size() >= positions_asked_) {
        fire(event::positions_complete, now);
    }
}

/// The member to promote: the most advanced of those that reported their positions, preferably one that stays. If
/// commits wait for replicas, it must not lack an entry that another one has, so a rejected member that alone has it is
/// waited for; otherwise another one takes its place.
std::optional<std::string> primary_change::most_advanced_candidate(instant now) const
{
    if (positions_.size() < required_positions()) {
        return std::nullopt;
    }
    const bool keeps_commits = options_.sync_replicas() > 0;
    const auto is_rejected = [&](const std::string& member) {
        const auto found = rejected_until_.find(member);
        return found != rejected_until_.end() && now < found->second;
    };
    const auto rank = [&](const std::string& member) {
        const bool accepted = !is_rejected(member);
        const pooled_member* known = pool_.member(member);
        const bool stays = known != nullptr && !known->entry->draining;
        // What a member receives in spite of its pause is lost unless it is the one that is promoted.
        const bool may_receive = keeps_commits && pauses_.may_resume(member, now);
        return std::tuple(keeps_commits || accepted, positions_.at(member), may_receive, accepted, stays);
    };
    std::optional<std::string> best;
    for (const auto& [member, position] : positions_) {
        if (!best || rank(member) > rank(*best)) {
            best = member;
        }
    }
    return best && is_rejected(*best) ? std::nullopt : best;
}

/// Whether a successor is known and no other member's promotion, ordered before, could be carried out after its own.
/// Where acknowledged commits may be lost in a change of primary, it doesn't wait for the latter.
bool primary_change::may_order(instant now) const
{
    const auto best = most_advanced_candidate(now);
    return best && (options_.sync_replicas() == 0 || (orders_->allows(*best, now) && !waits_for_earlier_orders(now)));
}

/// Whether an order of an earlier holder of the lock could take effect just before or after this one's. It can be made
/// void if the last known leader is the former primary, which it is if no replica has an entry of a later term.
bool primary_change::waits_for_earlier_orders(instant now) const
{
    const leadership_view& leadership = options_.state().leadership;
    const bool is_former =
        !leadership.last_leader().empty() && std::all_of(positions_.begin(), positions_.end(), [&](const auto& each) {
            return each.second->term <= leadership.last_leader_term();
        });
    return is_former && !orders_->earlier_void(now);
}

/// Whether a hand-over may start. Where commits must not be lost, orders for other members than the successor have to
/// be void first, because one of them could be carried out after it.
bool primary_change::may_hand_over(instant now) const
{
    const auto successor = least_lagging_candidate();
    return may_change(now) && successor && (options_.sync_replicas() == 0 || orders_->allows(*successor, now));
}

/// Logs why no promotion can be ordered yet. Raises the token if that is an open order for another member, and shows it
/// if an order of an earlier holder may be open.
void primary_change::note_wait(instant now)
{
    const auto candidate = most_advanced_candidate(now);
    const bool short_of_positions = positions_.size() < required_positions();
    const bool blocked = candidate && !orders_->allows(*candidate, now);
    const std::string reason = blocked              ? "open_order"
                               : candidate          ? "earlier_orders"
                               : short_of_positions ? "positions"
                                                    : "rejected";
    if (blocked) {
        options_.raise_fence(now);
    } else if (candidate) {
        orders_->announce(options_.state().leadership.last_leader(), now);
    }
    const std::string wait =
        "service=" + options_.service + " reason=" + reason + " told=" + std::to_string(positions_.size()) +
        " asked=" + std::to_string(positions_asked_) + " required=" + std::to_string(required_positions());
    if (wait != last_wait_) {
        last_wait_ = wait;
        options_.log("change_waits", wait);
    }
}

std::optional<std::string> primary_change::least_lagging_candidate() const
{
    const auto candidates = promotion_candidates(false);
    const auto& replica_lags = options_.state().replica_lags;
    const auto lag = [&replica_lags](const std::string& member) {
        const auto found = replica_lags.find(member);
        return found == replica_lags.end() ? duration{} : found->second.lag();
    };
    const auto best = std::min_element(candidates.begin(), candidates.end(),
                                       [&](const auto& a, const auto& b) { return lag(a) < lag(b); });
    return best == candidates.end() ? std::nullopt : std::optional(*best);
}

void primary_change::step_leader_down(instant now)
{
    started_at_ = now;
    leadership_view& leadership = options_.state().leadership;
    old_primary_ = *leadership.leader();
    positions_.clear();
    successor_ = least_lagging_candidate().value_or("");
    const connection_number connection = pool_.acquire(old_primary_, {}, now);
    if (connection == 0) {
        options_.at(now, [this](instant at) { fire(event::step_failed, at); });
        return;
    }
    pool_.send_internal(
        connection, {step_down{.term = leadership.term() + 1}},
        [this, connection](const exchange_outcome& outcome, instant at) { on_stepped_down(connection, outcome, at); },
        now);
}

void primary_change::on_stepped_down(connection_number connection, const exchange_outcome& outcome, instant now)
{
    const auto* reply = std::get_if<member_reply>(&outcome);
    if (reply == nullptr) {
        fire(event::step_failed, now);
        return;
    }
    pool_.release(connection, now);
    const bool has_status = !(*reply)->failure && !(*reply)->rows.empty();
    const auto status = has_status
                            ? options_.read_status((*reply)->rows.front())
                            : result<replication_status>(error{{.kind = error_kind::internal, .detail = "no status"}});
    if (!ok(status) || value_of(status)->leads) {
        fire(event::step_failed, now);
        return;
    }
    final_position_ = value_of(status)->received;
    options_.state().leadership.lost(old_primary_, now);
    options_.log("primary_stepped_down", "service=" + options_.service + " member=" + old_primary_ +
                                             " position=" + std::to_string((*final_position_)->term) + "." +
                                             std::to_string((*final_position_)->index));
    fire(event::stepped_down, now);
}

void primary_change::ask_catch_up(instant now)
{
    if (!final_position_) {
        return;
    }
    const connection_number connection = pool_.acquire(successor_, {}, now);
    if (connection == 0) {
        options_.at(now + catch_up_interval, [this](instant at) { ask_catch_up(at); });
        return;
    }
    pool_.send_internal(
        connection, {begin_read_only{.after = *final_position_}},
        [this, connection](const exchange_outcome& outcome, instant at) { on_catch_up(connection, outcome, at); }, now);
}

void primary_change::on_catch_up(connection_number connection, const exchange_outcome& outcome, instant now)
{
    const auto* reply = std::get_if<member_reply>(&outcome);
    if (reply != nullptr) {
        pool_.release(connection, now);
        if (!(*reply)->failure) {
            fire(event::caught_up, now);
            return;
        }
    }
    options_.at(now + catch_up_interval, [this](instant at) { ask_catch_up(at); });
}

} // namespace citronfall
