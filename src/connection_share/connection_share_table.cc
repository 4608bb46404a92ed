#include "connection_share/connection_share_table.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Timeout of a platform call.
constexpr duration call_timeout = std::chrono::seconds(2);

/// Connections that a holder needs at least: one for status calls and one for statements.
constexpr std::int64_t min_connections = 2;

/// Minimum time between two reads of a ledger for a requesting holder that is not in it. Limits the reads if the holder
/// never joins.
constexpr duration unknown_holder_read_interval = std::chrono::seconds(1);

/// Minimum time between two grants of a single connection by a daemon that itself needs more connections.
constexpr duration single_grant_interval = std::chrono::seconds(5);

/// Interval between two calls of tick().
constexpr duration tick_interval = std::chrono::milliseconds(50);

std::string holder_name(const std::string& daemon, std::uint64_t incarnation)
{
    return daemon + "#" + std::to_string(incarnation);
}

std::string lease_key(const std::string& holder)
{
    return "share-lease/" + holder;
}

std::int64_t sum_of(const auto& transfers, const member_key& member)
{
    std::int64_t sum = 0;
    for (const auto& [key, amount] : transfers) {
        sum += key.member == member ? amount : 0;
    }
    return sum;
}

} // namespace

result<connection_share_table> connection_share_table::make(connection_share_table_options options)
{
    auto definition = chart::make_embedded("share");
    if (!ok(definition)) {
        return error_of(definition);
    }
    auto states = program::make(take(std::move(definition)), bindings());
    if (!ok(states)) {
        return error_of(states);
    }
    return connection_share_table{std::move(options), take(std::move(states))};
}

connection_share_table::connection_share_table(connection_share_table_options options, program states)
    : options_(std::move(options)), program_(std::move(states)),
      holder_(holder_name(options_.daemon, options_.incarnation))
{
}

chart_bindings<connection_share_table::step_context> connection_share_table::bindings()
{
    using context = step_context;
    return {.events = {"due", "ledger_read", "ledger_written", "call_failed"},
            .guards = {{"change_needed",
                        [](const context& step) {
                            return step.subject.planned.has_value();
                        }},
                       {"other_wrote",
                        [](const context& step) {
                            return step.subject.failure == error_kind::conflict;
                        }}},
            .actions = {{"read_ledger",
                         [](context& step) {
                             step.table.read_ledger(step.subject, step.now);
                         }},
                        {"write_ledger",
                         [](context& step) {
                             step.table.write_ledger(step.subject, step.now);
                         }},
                        {"adopt_written",
                         [](context& step) {
                             step.table.adopt(step.subject, *step.subject.planned, step.subject.revision, step.now);
                             step.subject.due = std::min(step.subject.due, step.now + tick_interval);
                         }},
                        {"retry_later",
                         [](context& step) {
                             // A daemon without a share cannot serve requests, so it retries sooner.
                             const connection_share_table_options& options = step.table.options_;
                             step.subject.due = step.now + (step.subject.joined ? options.ledger_interval / 3
                                                                                : options.resend_interval);
                         }}},
            .arm_timer = {}};
}

void connection_share_table::fire(group_state& group, share_event event, instant now)
{
    step_context step{.table = *this, .subject = group, .now = now};
    group.state = program_.fire(group.state, event, step).state;
}

std::uint32_t connection_share_table::held(const member_key& member) const
{
    const group_state* group = find(member->group);
    if (group == nullptr || !group->joined) {
        return 0;
    }
    const auto entry = group->ledger->entries.find(holder_);
    if (entry == group->ledger->entries.end()) {
        return 0;
    }
    const auto found = entry->second->allocated.find(member->member);
    const std::int64_t allocated = found == entry->second->allocated.end() ? 0 : found->second;
    return static_cast<std::uint32_t>(
        std::max<std::int64_t>(0, allocated + sum_of(received_, member) - sum_of(granted_, member)));
}

bool connection_share_table::joined(const std::string& group) const
{
    const group_state* found = find(group);
    return found != nullptr && found->joined;
}

bool connection_share_table::apply(const platform_event& event, instant now)
{
    if (const auto lease = lease_calls_.find(event->number); lease != lease_calls_.end()) {
        if (!event->failure && event->lease_held && lease->second != holder_) {
            expired_holders_.insert(lease->second);
        }
        lease_calls_.erase(lease);
        return true;
    }
    for (auto& [name, group] : groups_) {
        if (group.call != event->number) {
            continue;
        }
        group.call = 0;
        if (event->failure) {
            group.failure = event->failure;
            fire(group, share_event::call_failed, now);
            return true;
        }
        if (program_.handles(group.state, share_event::ledger_written)) {
            group.revision = event->entry->revision;
            fire(group, share_event::ledger_written, now);
            return true;
        }
        const auto ledger = event->entry->revision == 0 ? std::optional(connection_share_ledger{})
                                                        : options_.decode(event->entry->value);
        if (!ledger) {
            options_.count("share_ledgers_unreadable_total");
            fire(group, share_event::call_failed, now);
            return true;
        }
        adopt(group, *ledger, event->entry->revision, now);
        group.planned = plan_changes(group, now);
        fire(group, share_event::ledger_read, now);
        return true;
    }
    return false;
}

void connection_share_table::read_ledger(group_state& group, instant now)
{
    group.call = options_.next_number();
    group.called_at = now;
    group.due = now + options_.ledger_interval;
    options_.platform(platform_call{{.number = group.call,
                                     .operation = platform_operation::read,
                                     .key = "shares/" + group.name,
                                     .deadline = now + call_timeout}});
}

void connection_share_table::write_ledger(group_state& group, instant now)
{
    group.call = options_.next_number();
    group.called_at = now;
    options_.count("share_ledger_writes_total");
    options_.platform(platform_call{{.number = group.call,
                                     .operation = platform_operation::compare_and_swap,
                                     .key = "shares/" + group.name,
                                     .expected = group.revision,
                                     .value = options_.encode(*group.planned),
                                     .deadline = now + call_timeout}});
}

void connection_share_table::adopt(group_state& group, const connection_share_ledger& ledger, kv_revision revision,
                                   instant now)
{
    // The ledger's allocations include settled transfers, which must not be counted twice.
    const auto forget = [&](const std::string& peer) {
        const auto gone = [&](const auto& each) {
            return each.first.peer == peer && each.first.member->group == group.name;
        };
        std::erase_if(received_, gone);
        std::erase_if(granted_, gone);
    };
    for (const auto& [holder, entry] : ledger->entries) {
        if (entry->dead) {
            expired_holders_.erase(holder);
        }
        if (entry->dead && entry->settled.contains(holder_)) {
            forget(holder);
        }
    }
    for (const auto& [holder, entry] : group.ledger->entries) {
        // The dead mark of an entry is never cleared. A live entry for a holder that was dead is a new one: the old one
        // was removed, which required this daemon's settlement, and the holder has joined again.
        const auto found = ledger->entries.find(holder);
        if (found == ledger->entries.end() || (!found->second->dead && settling_.contains(holder))) {
            forget(holder);
            settling_.erase(holder);
            expired_holders_.erase(holder);
        }
    }
    group.ledger = ledger;
    group.revision = revision;
    const auto own_entry = ledger->entries.find(holder_);
    const bool alive = own_entry != ledger->entries.end() && !own_entry->second->dead;
    if (alive) {
        group.confirmed = std::max(group.confirmed.value_or(group.called_at), group.called_at);
        group.ledger_confirmed = group.called_at;
    }
    if (group.joined && !alive) {
        options_.count("shares_lapsed_total");
        options_.close_all(group.name);
    }
    if (!alive) {
        std::erase_if(received_, [&](const auto& each) { return each.first.member->group == group.name; });
        std::erase_if(granted_, [&](const auto& each) { return each.first.member->group == group.name; });
        std::erase_if(outgoing_grants_,
                      [&](const auto& each) { return each.second.grant->member->group == group.name; });
    }
    group.joined = alive;
    if (group.joined) {
        check_confirmation(group, now);
    }
}

std::optional<connection_share_ledger> connection_share_table::plan_changes(group_state& group, instant now)
{
    connection_share_ledger_fields fields = *group.ledger;
    if (!fields.entries.contains(holder_)) {
        if (!leaving_) {
            plan_join(group, fields);
        }
    } else if (!fields.entries.at(holder_)->dead) {
        for (auto& [holder, entry] : fields.entries) {
            if (expired_holders_.contains(holder) && !entry->dead) {
                entry = with(entry, [](connection_share_entry_fields& changed) { changed.dead = true; });
            }
        }
        plan_settlement(group, fields);
        plan_reclaim(group, fields, now);
    } else {
        // This holder is marked dead and has closed all its connections to the members, so the other holders may settle
        // with it although their peer connections to it are still open.
        auto& own_entry = fields.entries.at(holder_);
        own_entry = with(own_entry, [&](connection_share_entry_fields& changed) { changed.settled.insert(holder_); });
    }
    connection_share_ledger planned{std::move(fields)};
    return planned == group.ledger ? std::nullopt : std::optional(planned);
}

void connection_share_table::plan_join(const group_state& group, connection_share_ledger_fields& fields) const
{
    const group_config* config = options_.config().group(group.name);
    if (config == nullptr) {
        return;
    }
    connection_share_entry_fields own_entry;
    for (const member_config& member : (*config)->members) {
        const std::int64_t free = (*config)->connections_per_member - group.ledger.allocated(member->name);
        // Takes half of the free connections, so that daemons that join later find some. Grants even out the rest.
        const std::int64_t part = std::max(min_connections, (free + 1) / 2);
        own_entry.allocated[member->name] = std::clamp<std::int64_t>(part, 0, std::max<std::int64_t>(free, 0));
    }
    fields.entries[holder_] = connection_share_entry{std::move(own_entry)};
}

void connection_share_table::plan_settlement(const group_state& group, connection_share_ledger_fields& fields)
{
    connection_share_entry_fields own_entry = *fields.entries.at(holder_);
    for (auto& [holder, entry] : fields.entries) {
        const bool closed_all = entry->settled.contains(holder) || !connected(holder);
        // Settling is final, so the dead mark must already be in the ledger; a planned one may never be written.
        const bool dead_in_ledger = entry->dead && group.ledger->entries.at(holder)->dead;
        if (!dead_in_ledger || entry->settled.contains(holder_) || !closed_all) {
            continue;
        }
        settling_.insert(holder);
        outgoing_grants_.erase(holder);
        connection_share_entry_fields dead_entry = *entry;
        const auto move = [&, &peer = holder](const auto& transfers, std::int64_t sign) {
            for (const auto& [key, amount] : transfers) {
                if (key.peer == peer && key.member->group == group.name) {
                    own_entry.allocated[key.member->member] += sign * amount;
                    dead_entry.allocated[key.member->member] -= sign * amount;
                }
            }
        };
        move(received_, 1);
        move(granted_, -1);
        dead_entry.settled.insert(holder_);
        entry = connection_share_entry{std::move(dead_entry)};
    }
    fields.entries.at(holder_) = connection_share_entry{std::move(own_entry)};
}

void connection_share_table::plan_reclaim(group_state& group, connection_share_ledger_fields& fields, instant now) const
{
    // Dead holders may have transferred connections to each other, so the remainder is exact only for all of them
    // together.
    bool settled = true;
    std::vector<std::string> dead;
    std::vector<std::string> alive;
    for (const auto& [holder, entry] : fields.entries) {
        (entry->dead ? dead : alive).push_back(holder);
    }
    for (const std::string& holder : dead) {
        const auto& known = group.ledger->entries.at(holder);
        settled = settled && known->dead && std::all_of(alive.begin(), alive.end(), [&](const std::string& survivor) {
                      return known->settled.contains(survivor);
                  });
    }
    if (dead.empty() || !settled) {
        group.settled_since.reset();
        return;
    }
    if (!group.settled_since || group.settled_holders != dead) {
        group.settled_since = now;
        group.settled_holders = dead;
        group.due = std::min(group.due, now + options_.drop_time);
    }
    if (now - *group.settled_since < options_.drop_time) {
        return;
    }
    for (const std::string& holder : dead) {
        fields.entries.erase(holder);
    }
    const group_config* config = options_.config().group(group.name);
    connection_share_entry_fields own_entry = *fields.entries.at(holder_);
    for (const member_config& member : (*config)->members) {
        const std::int64_t free =
            (*config)->connections_per_member - connection_share_ledger{fields}.allocated(member->name);
        own_entry.allocated[member->name] += std::max<std::int64_t>(free, 0);
    }
    fields.entries.at(holder_) = connection_share_entry{std::move(own_entry)};
}

void connection_share_table::apply(const peer_event& event, instant now)
{
    peer_state& peer = peers_[event->from];
    if (event->kind == peer_event_kind::disconnected) {
        peer = peer_state{.holder = {}, .changed = now};
        return;
    }
    if (event->kind == peer_event_kind::connected) {
        const auto* hello = std::get_if<peer_hello>(&event->message);
        if (hello != nullptr) {
            peer = peer_state{.holder = holder_name((*hello)->daemon, (*hello)->incarnation), .changed = now};
        }
        return;
    }
    if (peer.holder.empty() || settling_.contains(peer.holder)) {
        return;
    }
    for (auto& [name, group] : groups_) {
        const auto entry = group.ledger->entries.find(peer.holder);
        if (entry != group.ledger->entries.end() && !entry->second->dead && group.joined &&
            peer.changed <= group.ledger_confirmed) {
            group.confirmed = now;
        }
    }
    if (const auto* request = std::get_if<share_request>(&event->message)) {
        read_ledger_if_unknown(peer.holder, (*request)->member->group, now);
        handle_request(event->from, *request, now);
    } else if (const auto* grant = std::get_if<share_grant>(&event->message)) {
        handle_grant(event->from, *grant);
    } else if (const auto* ack = std::get_if<share_ack>(&event->message)) {
        handle_ack(event->from, *ack);
    }
}

/// Reads the ledger soon if it does not contain a holder that requests connections. The holder may have joined after
/// the last read, and only holders in the ledger may receive grants.
void connection_share_table::read_ledger_if_unknown(const std::string& holder, const std::string& name, instant now)
{
    const auto found = groups_.find(name);
    if (found != groups_.end() && !found->second.ledger->entries.contains(holder)) {
        found->second.due =
            std::min(found->second.due, std::max(now, found->second.called_at + unknown_holder_read_interval));
    }
}

void connection_share_table::handle_request(const std::string& to, const share_request& request, instant now)
{
    const std::string holder = peers_[to].holder;
    const member_key& member = request->member;
    const group_state* group = find(member->group);
    if (group == nullptr || !group->joined || outgoing_grants_.contains(holder) ||
        !group->ledger->entries.contains(holder)) {
        return;
    }
    const std::int64_t share = held(member);
    const std::int64_t need = options_.needed(member);
    // A daemon below the minimum cannot serve at all, so it takes precedence over this daemon's own demand. Otherwise,
    // a daemon that needs its whole share grants only what exceeds an equal part.
    const bool starved = std::int64_t{request->held} < min_connections;
    const std::int64_t kept = starved         ? min_connections
                              : need >= share ? std::max(min_connections, equal_part(*group))
                                              : std::max(min_connections, need + 1);
    std::int64_t amount = std::min<std::int64_t>(request->wanted, share - kept);
    if (starved) {
        amount = std::min(amount, min_connections - std::int64_t{request->held});
    } else if (need >= share && amount > 0) {
        // Granting half of the excess converges. A single excess connection would circulate between daemons that all
        // need more, so it is granted at most once per interval.
        amount = amount == 1 && now - last_single_grant_ >= single_grant_interval ? 1 : amount / 2;
        last_single_grant_ = amount > 0 ? now : last_single_grant_;
    }
    if (amount <= 0) {
        return;
    }
    std::int64_t open = options_.open(member);
    if (open > share - amount) {
        open -= options_.close_idle(member, static_cast<std::uint32_t>(open - (share - amount)));
    }
    amount = std::min(amount, share - open);
    if (amount <= 0) {
        return;
    }
    grant(to, member, amount, now);
}

void connection_share_table::grant(const std::string& to, const member_key& member, std::int64_t amount, instant now)
{
    const std::string holder = peers_[to].holder;
    granted_[{.peer = holder, .member = member}] += amount;
    options_.count("shares_granted_total");
    outgoing_grants_[holder] = outgoing_grant{.grant = share_grant{{.number = options_.next_number(),
                                                                    .member = member,
                                                                    .connections = static_cast<std::uint32_t>(amount)}},
                                              .to = to,
                                              .send_at = now + options_.close_time};
}

std::string connection_share_table::handover_peer(const group_state& group) const
{
    for (const auto& [name, peer] : peers_) {
        // A peer that is leaving too accepts no grants. If there is no other peer, the drain must not wait.
        if (peer.refused_grant) {
            continue;
        }
        const auto entry = group.ledger->entries.find(peer.holder);
        if (entry != group.ledger->entries.end() && !entry->second->dead) {
            return name;
        }
    }
    return {};
}

bool connection_share_table::handing_over() const
{
    return leaving_ && std::any_of(groups_.begin(), groups_.end(), [this](const auto& each) {
               const auto& group = each.second;
               const group_config* config = options_.config().group(group.name);
               if (!group.joined || config == nullptr || handover_peer(group).empty()) {
                   return false;
               }
               return !outgoing_grants_.empty() ||
                      std::any_of((*config)->members.begin(), (*config)->members.end(),
                                  [&](const member_config& configured) {
                                      const member_key member{{.group = group.name, .member = configured->name}};
                                      return held(member) > options_.open(member);
                                  });
           });
}

void connection_share_table::hand_over(const group_state& group, instant now)
{
    const group_config* config = options_.config().group(group.name);
    const std::string to = handover_peer(group);
    if (!leaving_ || !group.joined || config == nullptr || to.empty()) {
        return;
    }
    for (const member_config& configured : (*config)->members) {
        const member_key member{{.group = group.name, .member = configured->name}};
        options_.close_idle(member, options_.open(member));
        const std::int64_t unused = std::int64_t{held(member)} - options_.open(member);
        if (unused > 0 && !outgoing_grants_.contains(peers_[to].holder)) {
            grant(to, member, unused, now);
        }
    }
}

void connection_share_table::handle_grant(const std::string& from, const share_grant& grant)
{
    const std::string holder = peers_[from].holder;
    incoming_grant& known = incoming_grants_[holder];
    if (grant->number < known.number) {
        return; // The sender has sent a later grant, so it has received the acknowledgement of this one.
    }
    if (grant->number > known.number) {
        const group_state* group = find(grant->member->group);
        const bool taken = !leaving_ && group != nullptr && group->joined;
        known = incoming_grant{.number = grant->number, .accepted = taken};
        if (taken) {
            received_[{.peer = holder, .member = grant->member}] += grant->connections;
        }
    }
    options_.peer(outgoing_peer_message{
        {.to = from, .message = share_ack{{.number = grant->number, .accepted = known.accepted}}}});
}

void connection_share_table::handle_ack(const std::string& from, const share_ack& ack)
{
    const std::string holder = peers_[from].holder;
    const auto found = outgoing_grants_.find(holder);
    if (found == outgoing_grants_.end() || found->second.grant->number != ack->number) {
        return;
    }
    if (!ack->accepted) {
        granted_[{.peer = holder, .member = found->second.grant->member}] -= found->second.grant->connections;
        peers_[from].refused_grant = true;
    }
    outgoing_grants_.erase(found);
}

void connection_share_table::tick(instant now)
{
    if (next_tick_ && now < *next_tick_) {
        return;
    }
    next_tick_ = now + tick_interval;
    for (const auto& [name, config] : options_.config()->groups) {
        const auto [found, added] = groups_.try_emplace(name);
        if (added) {
            found->second.name = name;
            found->second.state = program_.initial();
            found->second.due = now;
        }
    }
    renew_leases(now);
    for (auto& [name, group] : groups_) {
        check_confirmation(group, now);
        const bool found_dead =
            std::any_of(expired_holders_.begin(), expired_holders_.end(), [&, &each = group](const auto& holder) {
                const auto entry = each.ledger->entries.find(holder);
                return entry != each.ledger->entries.end() && !entry->second->dead;
            });
        if (now >= group.due || (found_dead && now - group.called_at >= options_.resend_interval)) {
            fire(group, share_event::due, now);
        }
        request_connections(group, now);
        hand_over(group, now);
    }
    send_grants(now);
}

void connection_share_table::renew_leases(instant now)
{
    if (next_renewal_ && now < *next_renewal_) {
        return;
    }
    next_renewal_ = now + options_.lease_ttl / 3;
    const auto attempt = [&](const std::string& holder) {
        const std::uint64_t number = options_.next_number();
        lease_calls_[number] = holder;
        options_.platform(platform_call{{.number = number,
                                         .operation = platform_operation::lease,
                                         .key = lease_key(holder),
                                         .holder = holder_,
                                         .ttl = options_.lease_ttl,
                                         .deadline = now + call_timeout}});
    };
    attempt(holder_);
    std::set<std::string> disconnected_holders;
    for (const auto& [name, group] : groups_) {
        // Only a holder may mark another one dead. If any other daemon took the lease, no holder would notice that it
        // has expired.
        for (const auto& [holder, entry] :
             group.joined ? group.ledger->entries : connection_share_ledger_fields{}.entries) {
            if (holder != holder_ && !entry->dead && !connected(holder)) {
                disconnected_holders.insert(holder);
            }
        }
    }
    std::erase_if(disconnected_since_, [&](const auto& each) { return !disconnected_holders.contains(each.first); });
    for (const std::string& holder : disconnected_holders) {
        // A holder has one lease period to take its lease for the first time.
        if (now - disconnected_since_.try_emplace(holder, now).first->second >= options_.lease_ttl) {
            attempt(holder);
        }
    }
}

void connection_share_table::check_confirmation(group_state& group, instant now)
{
    if (group.joined && now - *group.confirmed > options_.silence_limit) {
        // Other holders may already have reclaimed the share.
        group.joined = false;
        group.due = now;
        options_.count("shares_lapsed_total");
        options_.close_all(group.name);
    }
}

void connection_share_table::request_connections(const group_state& group, instant now)
{
    const group_config* config = options_.config().group(group.name);
    if (!group.joined || leaving_ || config == nullptr) {
        return;
    }
    for (const member_config& configured : (*config)->members) {
        const member_key member{{.group = group.name, .member = configured->name}};
        const std::uint32_t share = held(member);
        const std::uint32_t needed = std::max<std::uint32_t>(min_connections, options_.needed(member));
        const auto asked = last_requests_.find(member);
        if (needed <= share || (asked != last_requests_.end() && now - asked->second < options_.request_interval)) {
            continue;
        }
        last_requests_[member] = now;
        options_.peer(outgoing_peer_message{
            {.to = {}, .message = share_request{{.member = member, .wanted = needed - share, .held = share}}}});
    }
}

void connection_share_table::send_grants(instant now)
{
    for (auto& [holder, outgoing] : outgoing_grants_) {
        if (now < outgoing.send_at || peers_[outgoing.to].holder != holder) {
            continue;
        }
        outgoing.send_at = now + options_.resend_interval;
        options_.peer(outgoing_peer_message{{.to = outgoing.to, .message = outgoing.grant}});
    }
}

bool connection_share_table::connected(const std::string& holder) const
{
    return std::any_of(peers_.begin(), peers_.end(), [&](const auto& each) { return each.second.holder == holder; });
}

std::uint32_t connection_share_table::connections_limit(const std::string& group) const
{
    const group_config* config = options_.config().group(group);
    return config == nullptr ? 0 : (*config)->connections_per_member;
}

std::int64_t connection_share_table::equal_part(const group_state& group) const
{
    const auto alive = std::count_if(group.ledger->entries.begin(), group.ledger->entries.end(),
                                     [](const auto& each) { return !each.second->dead; });
    const auto holders = std::max<std::int64_t>(alive, 1);
    return (connections_limit(group.name) + holders - 1) / holders;
}

const connection_share_table::group_state* connection_share_table::find(const std::string& group) const
{
    const auto found = groups_.find(group);
    return found == groups_.end() ? nullptr : &found->second;
}

} // namespace citronfall
