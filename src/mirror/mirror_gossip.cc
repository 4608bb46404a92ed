#include "mirror/mirror_gossip.h"

#include "delta/value_delta.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Interval of digests. Together with the time for a request and its answer it bounds how late a daemon that does not
/// watch the store receives a change.
constexpr duration digest_interval = std::chrono::milliseconds(1000);

/// How long a daemon that watches the store must be behind before it requests changes from a peer. Its own watch
/// usually delivers them sooner.
constexpr duration request_delay = std::chrono::milliseconds(300);

/// How long a watch may leave out a change that a peer knows before it counts as hung; a slow store takes less.
constexpr duration hung_watch_time = std::chrono::milliseconds(1200);

/// Time for the answer to the first request for a change, for which a narrow link carries a compressed configuration.
/// Each further request has twice the time, so that a link that is only slow is not filled with copies.
constexpr duration first_request_timeout = std::chrono::milliseconds(700);

/// The time for an answer doubles so often at most.
constexpr unsigned max_timeout_doublings = 3;

/// How long a daemon without a copy waits for a peer whose copy is up to date before it takes an older one, which might
/// put a configuration in force that has been replaced.
constexpr duration first_copy_wait = std::chrono::milliseconds(1500);

/// A copy known to be up to date this long ago counts as up to date: two digests may be missing.
constexpr duration up_to_date_age = std::chrono::milliseconds(2500);

/// Limit on the size of a value that a peer sends; the store's own is 1 MB.
constexpr std::size_t max_value_bytes = 4 * 1024 * 1024;

/// Copies of peers that are remembered until this daemon has caught up: those of the last seconds.
constexpr std::size_t max_current_copies = 16;

} // namespace

bool mirror_gossip::live() const
{
    return std::all_of(options_.mirrors.begin(), options_.mirrors.end(),
                       [](const store_mirror* each) { return each->live(); });
}

std::optional<instant> mirror_gossip::current_at(instant now) const
{
    return live() ? std::optional(now) : confirmed_at_;
}

std::optional<instant> mirror_gossip::store_failed_at() const
{
    std::optional<instant> latest = peer_failed_at_;
    for (const store_mirror* each : options_.mirrors) {
        latest = std::max(latest, each->failed_at());
    }
    return latest;
}

store_era mirror_gossip::era() const
{
    store_era latest = peer_era_;
    for (const store_mirror* each : options_.mirrors) {
        latest = std::max(latest, each->table().era());
    }
    return latest;
}

store_digest mirror_gossip::digest(instant now) const
{
    const auto age_of = [now](const std::optional<instant>& at) {
        return at ? std::optional(now - *at) : std::nullopt;
    };
    store_digest_fields fields{
        .store_live = live(), .current_age = age_of(current_at(now)), .store_failure_age = age_of(store_failed_at())};
    for (const store_mirror* each : options_.mirrors) {
        const mirror_table& table = each->table();
        fields.ranges.push_back(range_digest{
            {.changed_at = table.changed_at(), .complete_to = table.complete_to(), .contents = table.contents()}});
    }
    return store_digest{std::move(fields)};
}

void mirror_gossip::tick(instant now)
{
    for (std::size_t i = 0; i < options_.mirrors.size(); ++i) {
        drop_settled_offers(i);
        request_missed(i, now);
    }
    if (now < next_digest_) {
        return;
    }
    next_digest_ = now + digest_interval;
    const store_digest own_digest = digest(now);
    for (const std::string& peer : options_.recipients(peers_)) {
        options_.send(peer, own_digest);
    }
}

void mirror_gossip::connected(const std::string& peer, instant now)
{
    peers_.insert(peer);
    options_.send(peer, digest(now));
}

void mirror_gossip::disconnected(const std::string& peer)
{
    peers_.erase(peer);
    for (auto& [range, missed] : missed_) {
        std::erase_if(missed.offers, [&peer](const offer& each) { return each.peer == peer; });
        if (missed.request && missed.request->peer == peer) {
            missed.request.reset(); // The next tick turns to another peer.
        }
    }
    std::erase_if(missed_, [](const auto& each) { return each.second.offers.empty(); });
}

void mirror_gossip::handle(const std::string& peer, const store_digest& digest, instant now)
{
    const std::size_t ranges = std::min(digest->ranges.size(), options_.mirrors.size());
    const bool up_to_date = digest->current_age && *digest->current_age <= up_to_date_age;
    for (std::size_t i = 0; i < ranges; ++i) {
        compare(peer, i, digest->ranges[i], up_to_date, now);
        peer_era_ = std::max(peer_era_, digest->ranges[i]->complete_to.era);
    }
    note_current_copy(digest, now);
    if (digest->store_failure_age) {
        peer_failed_at_ = std::max(peer_failed_at_, std::optional(now - *digest->store_failure_age));
    }
}

/// Compares a peer's copy with that of this daemon, and requests what is missing.
void mirror_gossip::compare(const std::string& peer, std::size_t range, const range_digest& offered, bool up_to_date,
                            instant now)
{
    store_mirror& mirror = *options_.mirrors[range];
    const mirror_table& table = mirror.table();
    if (!offered->contents) {
        if (offered->changed_at > table.changed_at()) {
            note_missed(peer, range, offered->changed_at, up_to_date, now);
        }
        return;
    }
    if (offered->complete_to.era == table.era() && *offered->contents == table.contents()) {
        mirror.confirm(offered->complete_to);
        drop_settled_offers(range);
    } else if (offered->complete_to > table.complete_to()) {
        note_missed(peer, range, offered->complete_to, up_to_date, now);
    } else {
        drop_settled_offers(range);
    }
}

/// Remembers the state of a copy that is up to date, because the changes that lead to it may still have to be
/// requested.
void mirror_gossip::note_current_copy(const store_digest& digest, instant now)
{
    if (!digest->current_age || digest->ranges.size() < options_.mirrors.size()) {
        return;
    }
    current_copy copy{.at = now - *digest->current_age, .complete_to = {}};
    for (const range_digest& each : digest->ranges) {
        copy.complete_to.push_back(each->complete_to);
    }
    current_copies_.push_back(std::move(copy));
    if (current_copies_.size() > max_current_copies) {
        current_copies_.pop_front();
    }
    confirm_copies();
}

void mirror_gossip::confirm_copies()
{
    std::erase_if(current_copies_, [this](const current_copy& copy) {
        for (std::size_t i = 0; i < options_.mirrors.size(); ++i) {
            if (options_.mirrors[i]->table().complete_to() < copy.complete_to[i]) {
                return false;
            }
        }
        confirmed_at_ = std::max(confirmed_at_, std::optional(copy.at));
        return true;
    });
}

/// Only reaching the offered revision ends the wait; a digest of a peer that is equally behind does not.
void mirror_gossip::note_missed(const std::string& peer, std::size_t range, const store_revision& offered,
                                bool up_to_date, instant now)
{
    drop_settled_offers(range);
    missed_change& missed = missed_.try_emplace(range, missed_change{.since = now}).first->second;
    missed.up_to_date = missed.up_to_date || up_to_date;
    const auto known = std::find_if(missed.offers.begin(), missed.offers.end(),
                                    [&peer](const offer& each) { return each.peer == peer; });
    if (known == missed.offers.end()) {
        missed.offers.push_back({.peer = peer, .revision = offered});
    } else {
        known->revision = std::max(known->revision, offered);
    }
    request_missed(range, now);
    store_mirror& mirror = *options_.mirrors[range];
    if (mirror.live() && now - missed.since >= hung_watch_time) {
        mirror.abandon_watch(now);
    }
}

/// Forgets the offers that the copy has reached.
void mirror_gossip::drop_settled_offers(std::size_t range)
{
    const auto missed = missed_.find(range);
    if (missed == missed_.end()) {
        return;
    }
    const store_revision known = options_.mirrors[range]->table().complete_to();
    std::erase_if(missed->second.offers, [&known](const offer& each) { return each.revision <= known; });
    if (missed->second.offers.empty()) {
        missed_.erase(missed);
    }
}

/// Requests the missed changes of a range unless a request is in progress or it is better to wait.
void mirror_gossip::request_missed(std::size_t range, instant now)
{
    const auto found = missed_.find(range);
    if (found == missed_.end()) {
        return;
    }
    const missed_change& missed = found->second;
    const store_mirror& mirror = *options_.mirrors[range];
    const bool first_copy = mirror.table().complete_to() == store_revision{};
    const duration waited = now - missed.since;
    if ((missed.request && now < missed.request->due) || (mirror.live() && waited < request_delay) ||
        (first_copy && !missed.up_to_date && waited < first_copy_wait)) {
        return;
    }
    // The highest revision, from the peer that told of it first; not again from one whose answer is overdue.
    const offer* best = nullptr;
    for (const offer& each : missed.offers) {
        const bool overdue = missed.request && missed.request->peer == each.peer && missed.offers.size() > 1;
        if (!overdue && (best == nullptr || each.revision > best->revision)) {
            best = &each;
        }
    }
    send_request(*best, range, now);
}

void mirror_gossip::send_request(const offer& from, std::size_t range, instant now)
{
    missed_change& missed = missed_.at(range);
    const mirror_table& table = options_.mirrors[range]->table();
    const store_revision known = table.complete_to();
    options_.log("peer_changes_requested", "peer=" + from.peer + " prefix=" + options_.mirrors[range]->prefix() +
                                               " known=" + to_text(known) + " offered=" + to_text(from.revision));
    store_request_fields request{
        .range = static_cast<std::uint8_t>(range), .after = known, .accepts_deltas = missed.form != value_form::plain};
    if (missed.form == value_form::differences) {
        for (const auto& [key, item] : table.items()) {
            if (item->value.size() >= large_value_bytes) {
                request.known_values.push_back(known_value{{.key = key, .revision = item->revision}});
            }
        }
    }
    missed.request =
        pending_request{.peer = from.peer,
                        .due = now + first_request_timeout * (1U << std::min(missed.requests, max_timeout_doublings))};
    ++missed.requests;
    options_.send(from.peer, store_request{std::move(request)});
}

void mirror_gossip::handle(const std::string& peer, const store_request& request)
{
    if (request->range >= options_.mirrors.size()) {
        return;
    }
    const mirror_table& table = options_.mirrors[request->range]->table();
    store_changes_fields changes{
        .range = request->range, .at = table.complete_to(), .complete = !table.has_all_changes_since(request->after)};
    for (const store_item& each : table.changes_after(request->after)) {
        if (!request->accepts_deltas || each->value.size() < large_value_bytes) {
            changes.items.push_back(each);
            continue;
        }
        const auto known = std::find_if(request->known_values.begin(), request->known_values.end(),
                                        [&each](const known_value& value) { return value->key == each->key; });
        const bool usable = known != request->known_values.end() && request->after.era == table.era();
        changes.deltas.push_back(deltas_.encode(table, each, usable ? (*known)->revision : 0));
    }
    options_.send(peer, store_changes{std::move(changes)});
}

void mirror_gossip::handle(const std::string& peer, const store_changes& changes, instant now)
{
    if (changes->range >= options_.mirrors.size()) {
        return;
    }
    const std::size_t range = changes->range;
    const auto missed = missed_.find(range);
    const bool requested = missed != missed_.end() && missed->second.request && missed->second.request->peer == peer;
    if (requested) {
        missed->second.request.reset();
    }
    options_.log("peer_changes", "peer=" + peer + " prefix=" + options_.mirrors[range]->prefix() +
                                     " at=" + to_text(changes->at) + " items=" + std::to_string(changes->items.size()) +
                                     " deltas=" + std::to_string(changes->deltas.size()));
    const auto complete = with_values(changes);
    if (!ok(complete)) {
        note_unreadable_value(peer, range, error_of(complete), now);
        return;
    }
    options_.mirrors[range]->apply_peer_changes(value_of(complete), now);
    drop_settled_offers(range);
    if (const auto left = missed_.find(range); requested && left != missed_.end()) {
        // The peer has answered with what it has. If that was not all, its next digest offers the rest again.
        std::erase_if(left->second.offers, [&peer](const offer& each) { return each.peer == peer; });
        if (left->second.offers.empty()) {
            missed_.erase(left);
        }
        request_missed(range, now);
    }
    confirm_copies();
}

/// Requests the changes again, with the value in a form that does not depend on what this daemon holds.
void mirror_gossip::note_unreadable_value(const std::string& peer, std::size_t range, const error& problem, instant now)
{
    options_.log("peer_value_unreadable", "peer=" + peer + " prefix=" + options_.mirrors[range]->prefix() +
                                              " reason=\"" + problem->detail + "\"");
    const auto missed = missed_.find(range);
    if (missed == missed_.end() || missed->second.request) {
        return;
    }
    missed->second.form = missed->second.form == value_form::differences ? value_form::compressed : value_form::plain;
    request_missed(range, now);
}

/// The changes with all values in full. Error (bad_request): a value cannot be read; then none of the changes may be
/// applied, because the copy would count as complete.
result<store_changes> mirror_gossip::with_values(const store_changes& changes) const
{
    if (changes->deltas.empty() || changes->at.era < options_.mirrors[changes->range]->table().era()) {
        return changes;
    }
    store_changes_fields complete = *changes;
    for (const item_delta& each : std::exchange(complete.deltas, {})) {
        auto item = value_of_delta(changes->range, changes->at.era, each);
        if (!ok(item)) {
            return error_of(item);
        }
        complete.items.push_back(take(std::move(item)));
    }
    return store_changes{std::move(complete)};
}

result<store_item> mirror_gossip::value_of_delta(std::size_t range, const store_era& era, const item_delta& delta) const
{
    const mirror_table& table = options_.mirrors[range]->table();
    const auto held = table.items().find(delta->key);
    if (era == table.era() && held != table.items().end() && held->second->revision >= delta->revision) {
        return held->second; // The own watch was faster.
    }
    const std::string* base = nullptr;
    if (delta->base_revision != 0) {
        base = era == table.era() ? table.value_at(delta->key, delta->base_revision) : nullptr;
        if (base == nullptr) {
            return error{{.kind = error_kind::bad_request, .detail = "the base of the value is not known"}};
        }
    }
    auto value = apply_value_delta(base == nullptr ? std::string_view{} : std::string_view(*base), delta->delta,
                                   max_value_bytes);
    if (!ok(value)) {
        return error_of(value);
    }
    return store_item{
        {.key = delta->key, .value = take(std::move(value)), .revision = delta->revision, .lease = delta->lease}};
}

} // namespace citronfall
