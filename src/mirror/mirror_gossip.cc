#include "mirror/mirror_gossip.h"

#include <algorithm>

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

void mirror_gossip::handle(const std::string& peer, const store_digest& digest, instant now)
{
    const std::size_t ranges = std::min(digest->ranges.size(), options_.mirrors.size());
    for (std::size_t i = 0; i < ranges; ++i) {
        compare(peer, i, digest->ranges[i], now);
        peer_era_ = std::max(peer_era_, digest->ranges[i]->complete_to.era);
    }
    note_current_copy(digest, now);
    if (digest->store_failure_age) {
        peer_failed_at_ = std::max(peer_failed_at_, std::optional(now - *digest->store_failure_age));
    }
}

/// Compares a peer's copy with that of this daemon, and requests what is missing.
void mirror_gossip::compare(const std::string& peer, std::size_t range, const range_digest& offered, instant now)
{
    store_mirror& mirror = *options_.mirrors[range];
    const mirror_table& table = mirror.table();
    if (!offered->contents) {
        if (offered->changed_at > table.changed_at()) {
            note_missed(peer, range, offered->changed_at, now);
        }
        return;
    }
    if (offered->complete_to.era == table.era() && *offered->contents == table.contents()) {
        mirror.confirm(offered->complete_to);
        missed_.erase(range);
    } else if (offered->complete_to > table.complete_to()) {
        note_missed(peer, range, offered->complete_to, now);
    } else if (const auto missed = missed_.find(range);
               missed != missed_.end() && missed->second.revision <= table.complete_to()) {
        missed_.erase(missed);
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

/// Only reaching the missed revision ends the wait; a digest of a peer that is equally behind does not.
void mirror_gossip::note_missed(const std::string& peer, std::size_t range, const store_revision& offered, instant now)
{
    store_mirror& mirror = *options_.mirrors[range];
    const store_revision known = mirror.table().complete_to();
    auto missed = missed_.find(range);
    if (missed != missed_.end() && missed->second.revision <= known) {
        missed_.erase(missed);
        missed = missed_.end();
    }
    if (missed == missed_.end()) {
        missed = missed_.emplace(range, missed_change{.revision = offered, .since = now}).first;
    }
    const duration waited = now - missed->second.since;
    if (mirror.live() && waited < request_delay) {
        return;
    }
    options_.log("peer_changes_requested", "peer=" + peer + " prefix=" + mirror.prefix() + " known=" + to_text(known) +
                                               " offered=" + to_text(offered));
    options_.send(peer, store_request{{.range = static_cast<std::uint8_t>(range), .after = known}});
    if (mirror.live() && waited >= hung_watch_time) {
        mirror.abandon_watch(now);
    }
}

void mirror_gossip::handle(const std::string& peer, const store_request& request)
{
    if (request->range >= options_.mirrors.size()) {
        return;
    }
    const mirror_table& table = options_.mirrors[request->range]->table();
    options_.send(peer, store_changes{{.range = request->range,
                                       .at = table.complete_to(),
                                       .complete = !table.has_all_changes_since(request->after),
                                       .items = table.changes_after(request->after)}});
}

void mirror_gossip::handle(const std::string& peer, const store_changes& changes, instant now)
{
    if (changes->range >= options_.mirrors.size()) {
        return;
    }
    options_.log("peer_changes", "peer=" + peer + " prefix=" + options_.mirrors[changes->range]->prefix() +
                                     " at=" + to_text(changes->at) + " items=" + std::to_string(changes->items.size()));
    options_.mirrors[changes->range]->apply_peer_changes(changes, now);
    confirm_copies();
}

} // namespace citronfall
