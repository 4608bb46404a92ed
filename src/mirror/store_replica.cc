#include "mirror/store_replica.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace citronfall {
namespace {

/// Duration of a watch without events. It bounds how long a watch whose answer was lost goes unnoticed if no peer tells
/// of the change.
constexpr duration watch_wait = std::chrono::seconds(10);

/// A daemon whose copy no watcher has confirmed for this long watches by itself: two digests are missing.
constexpr duration min_follow_limit = std::chrono::milliseconds(2500);

/// How long such a daemon goes on watching after a watcher has confirmed its copy again. Those that follow it would
/// otherwise confirm its copy in turn, and it would stop and start again.
constexpr duration min_watch_time = std::chrono::seconds(10);

/// Added to the limit at random, so that not all daemons turn to the store at the same moment.
constexpr duration follow_limit_spread = std::chrono::milliseconds(1000);

/// Time until the daemons of a fleet that starts for the first time have registered. Until then they cannot tell which
/// of them watch.
constexpr duration first_registration_time = std::chrono::milliseconds(1500);

/// Further time until a daemon of such a fleet has read the registrations.
constexpr duration first_list_time = std::chrono::milliseconds(500);

/// Peers that receive each digest of a daemon of a fleet in which all watch.
constexpr std::size_t peers_per_digest = 4;

} // namespace

result<std::unique_ptr<store_replica>> store_replica::make(store_replica_options options)
{
    std::unique_ptr<store_replica> replica(new store_replica(std::move(options)));
    if (const auto built = replica->build(); !ok(built)) {
        return error_of(built);
    }
    return replica;
}

result<done> store_replica::build()
{
    follow_limit_ =
        min_follow_limit +
        duration(static_cast<duration::rep>(options_.random(static_cast<std::uint64_t>(follow_limit_spread.count()))));
    std::vector<store_mirror*> all;
    for (const replicated_range& range : options_.ranges) {
        auto mirror = store_mirror::make({.prefix = range.prefix,
                                          .watch_wait = watch_wait,
                                          .batch_delay = range.batch_delay,
                                          .starts_stale = range.starts_stale,
                                          .watches = [this, &range] { return watches(range); },
                                          .call = options_.call,
                                          .changed = options_.changed,
                                          .log = options_.log});
        if (!ok(mirror)) {
            return error_of(mirror);
        }
        mirrors_.push_back(take(std::move(mirror)));
        all.push_back(mirrors_.back().get());
    }
    gossip_ = std::make_unique<mirror_gossip>(
        mirror_gossip_options{.mirrors = all,
                              .send = options_.send,
                              .recipients = [this](const std::set<std::string>& peers) { return recipients(peers); },
                              .log = options_.log});
    return done{};
}

void store_replica::tick(instant now)
{
    now_ = now;
    if (started_at_ == instant{}) {
        started_at_ = now;
    }
    check_confirmation();
    for (const auto& mirror : mirrors_) {
        mirror->tick(now);
    }
    gossip_->tick(now);
}

std::optional<instant> store_replica::next() const
{
    std::optional<instant> due;
    for (const auto& mirror : mirrors_) {
        const auto each = mirror->next();
        due = due && each ? std::min(due, each) : std::max(due, each);
    }
    return due;
}

bool store_replica::handle(const store_answer& answer, instant now)
{
    now_ = now;
    for (const auto& mirror : mirrors_) {
        mirror->note_era(answer->era, now);
    }
    return std::any_of(mirrors_.begin(), mirrors_.end(),
                       [&](const auto& mirror) { return mirror->handle(answer, now); });
}

void store_replica::handle(const std::string& peer, const store_digest& digest, instant now)
{
    now_ = now;
    gossip_->handle(peer, digest, now);
}

void store_replica::handle(const std::string& peer, const store_changes& changes, instant now)
{
    now_ = now;
    gossip_->handle(peer, changes, now);
}

bool store_replica::watches() const
{
    return watchers_.empty() || watchers_.contains(options_.self->name) || now_ < watches_until_;
}

bool store_replica::has_daemons() const
{
    for (std::size_t i = 0; i < mirrors_.size(); ++i) {
        if (options_.ranges[i].has_daemons && mirrors_[i]->table().complete_to() == store_revision{}) {
            return false;
        }
    }
    return true;
}

/// Watches by itself if no watcher has confirmed the copy for too long.
void store_replica::check_confirmation()
{
    if (now_ - gossip_->confirmed_at().value_or(started_at_) > follow_limit_) {
        watches_until_ = now_ + min_watch_time;
    }
}

bool store_replica::watches(const replicated_range& range) const
{
    const duration settled = first_registration_time + (range.has_daemons ? duration{} : first_list_time);
    const bool settling = options_.first_start && now_ - started_at_ < settled;
    return !settling && watches();
}

void store_replica::set_daemons(std::vector<watcher_candidate> daemons)
{
    daemons.push_back(options_.self);
    watchers_ = choose_watchers(daemons);
    std::vector<watcher_candidate> watchers;
    std::copy_if(daemons.begin(), daemons.end(), std::back_inserter(watchers),
                 [this](const watcher_candidate& each) { return watchers_.contains(each->name); });
    followed_ = followed_watchers(watchers, options_.self);
    followers_.clear();
    if (!watchers_.contains(options_.self->name)) {
        return;
    }
    for (const watcher_candidate& each : daemons) {
        if (followed_watchers(watchers, each).contains(options_.self->name)) {
            followers_.insert(each->name);
        }
    }
}

/// A watcher informs its followers and other watchers. Other daemons exchange digests at random.
std::vector<std::string> store_replica::recipients(const std::set<std::string>& peers) const
{
    std::vector<std::string> chosen;
    for (const std::string& each : peers) {
        if (followers_.contains(each)) {
            chosen.push_back(each);
        }
    }
    const std::size_t count = watchers_.empty() ? peers_per_digest : 1;
    std::vector<std::string> others(peers.begin(), peers.end());
    for (std::size_t i = 0; i < count && !others.empty(); ++i) {
        const auto each = others.begin() + static_cast<std::ptrdiff_t>(options_.random(others.size()));
        if (std::find(chosen.begin(), chosen.end(), *each) == chosen.end()) {
            chosen.push_back(*each);
        }
        others.erase(each);
    }
    return chosen;
}

} // namespace citronfall
