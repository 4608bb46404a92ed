#include "registration/daemon_registrar.h"

#include "registration/fencing_token.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

/// Time to live of the lease of the locks. A shorter one would lose the locks whenever the process stalls briefly; a
/// longer one would prolong the time after the failure of a lock's holder in which no daemon may change the primary.
constexpr duration lock_time_to_live = std::chrono::seconds(3);

/// Time to live of the registration. It outlasts a short outage of the store and a restart of the process, so that
/// these change no assignment; peers notice the loss of a daemon by its connections.
constexpr duration registration_time_to_live = std::chrono::seconds(10);

/// Additional delay per position before a daemon claims a free lock: several round trips to a slow store.
constexpr duration claim_delay_per_position = std::chrono::milliseconds(300);

/// Time until a registration that was written is listed here, by a watch or by a peer.
constexpr duration listing_time = std::chrono::seconds(5);

/// Timeout of one write of a key.
constexpr duration write_timeout = std::chrono::milliseconds(1000);

/// Minimum interval between two attempts to write a key.
constexpr duration min_write_interval = std::chrono::milliseconds(500);

} // namespace

result<std::unique_ptr<daemon_registrar>> daemon_registrar::make(daemon_registrar_options options,
                                                                 const service_directory& directory)
{
    std::unique_ptr<daemon_registrar> made(new daemon_registrar(std::move(options), directory));
    for (const auto& [lease, time_to_live] : {std::pair(&made->registration_lease_, registration_time_to_live),
                                              std::pair(&made->lock_lease_, lock_time_to_live)}) {
        auto client =
            lease_client::make({.time_to_live = time_to_live, .call = made->options_.call, .log = made->options_.log});
        if (!ok(client)) {
            return error_of(client);
        }
        *lease = take(std::move(client));
    }
    return made;
}

void daemon_registrar::tick(instant now)
{
    if (deregistered_) {
        return;
    }
    registration_lease_->tick(now);
    if (claims_locks_) {
        lock_lease_->tick(now);
    }
    if (registration_lease_->lease() == 0) {
        return;
    }
    register_self(now);
    if (claims_due_ && now >= *claims_due_) {
        claim_failover_locks(now);
    }
}

std::string daemon_registrar::own_key() const
{
    return options_.keys.daemons + options_.self->name;
}

/// Whether this run of the daemon is registered with its present lease. Its entry may be listed here only later.
bool daemon_registrar::registered(instant now) const
{
    const auto found = directory_.daemons().find(options_.self->name);
    const bool listed = found != directory_.daemons().end() && found->second == options_.self;
    const bool written = registered_with_ == registration_lease_->lease();
    return written && (listed || now - registered_at_ < listing_time);
}

void daemon_registrar::register_self(instant now)
{
    if (registered(now)) {
        return;
    }
    const std::string key = own_key();
    if (now >= next_attempts_[key]) {
        // No condition on the revision: only this daemon writes its own entry.
        next_attempts_[key] = now + min_write_interval;
        const call_number number =
            options_.call(change_items{{.writes = {store_item{{.key = key,
                                                               .value = options_.encode_daemon(options_.self),
                                                               .lease = registration_lease_->lease()}}}}},
                          write_timeout);
        pending_writes_[number] = {.key = key, .lease = registration_lease_->lease()};
    }
}

/// A lock that is attached to an earlier lease of this daemon is not its own: the store removes it with that lease.
bool daemon_registrar::is_own(const failover_lock& lock) const
{
    const lease_client& lease = lease_of(lock->service);
    return lock->holder == options_.self->name && lock->incarnation == options_.self->incarnation &&
           lock->lease == lease.lease() && lock->acquired_at.era == lease.era();
}

/// The lease that a lock is attached to.
lease_client& daemon_registrar::lease_of(const std::string& lock) const
{
    return options_.lasting_locks.contains(lock) ? *registration_lease_ : *lock_lease_;
}

void daemon_registrar::claim_failover_locks(instant now)
{
    claims_due_.reset();
    if (!directory_.configuration() || !directory_.daemons().contains(options_.self->name)) {
        return;
    }
    std::set<std::string> locks = directory_.used_services();
    if (options_.claims_lasting_locks && options_.claims_lasting_locks()) {
        locks.insert(options_.lasting_locks.begin(), options_.lasting_locks.end());
    }
    for (const std::string& lock : locks) {
        if (const auto due = claim_or_release(lock, now)) {
            claims_due_ = claims_due_ ? std::min(*claims_due_, *due) : *due;
        }
    }
}

std::optional<instant> daemon_registrar::claim_or_release(const std::string& lock, instant now)
{
    const auto order = options_.claim_order(lock);
    return order ? claim_failover_lock(lock, *order, now) : release_failover_lock(lock, now);
}

/// Gives up the lock of a service that this daemon is no longer assigned to: it has no connections to judge the primary
/// by. Returns when to look at it again; nothing if it holds no lock.
std::optional<instant> daemon_registrar::release_failover_lock(const std::string& service, instant now)
{
    free_since_.erase(service);
    const auto held = directory_.failover_locks().find(service);
    if (held == directory_.failover_locks().end() || !is_own(held->second)) {
        return std::nullopt;
    }
    const std::string key = options_.keys.failover_locks + service;
    if (now >= next_attempts_[key] && !options_.uses_lock(service)) {
        next_attempts_[key] = now + min_write_interval;
        const expected_revision condition{{.key = key, .revision = held->second->acquired_at.revision}};
        const call_number number =
            options_.call(change_items{{.expected = {condition}, .deletes = {key}}}, write_timeout);
        pending_writes_[number] = {.key = key, .lease = lease_of(service).lease()};
    }
    return std::max(next_attempts_[key], now + min_write_interval);
}

/// Claims the lock of a service if it is free and this daemon's turn has come. Returns when to look at it again;
/// nothing if only a change of the directory can free it.
std::optional<instant> daemon_registrar::claim_failover_lock(const std::string& service, std::size_t order, instant now)
{
    const auto held = directory_.failover_locks().find(service);
    const bool held_by_other = held != directory_.failover_locks().end() && held->second->holder != options_.self->name;
    const bool own = held != directory_.failover_locks().end() && is_own(held->second);
    if (held_by_other || (own && !is_rejected(held->second))) {
        free_since_.erase(service);
        return std::nullopt;
    }
    const bool free = held == directory_.failover_locks().end();
    if (!free && held->second->acquired_at.era != registration_lease_->era()) {
        return std::nullopt; // The present revision is not known before the restored store has been read.
    }
    // Free, or held by an earlier run or lease of this daemon or with a token that the platform rejected: it takes the
    // lock over with a higher fencing token.
    const instant since = free_since_.try_emplace(service, now).first->second;
    const instant turn = since + claim_delay_per_position * static_cast<int>(order);
    if (free && now < turn) {
        return turn;
    }
    claims_locks_ = claims_locks_ || !options_.lasting_locks.contains(service);
    if (lease_of(service).lease() == 0) {
        return std::nullopt; // Its grant makes the claim due.
    }
    const failover_lock wanted{
        {.service = service, .holder = options_.self->name, .incarnation = options_.self->incarnation}};
    write_lock(service, options_.encode_failover_lock(wanted), free ? 0 : held->second->acquired_at.revision, now);
    return next_attempts_[options_.keys.failover_locks + service];
}

void daemon_registrar::write_lock(const std::string& lock, const std::string& value, kv_revision expected, instant now)
{
    const std::string key = options_.keys.failover_locks + lock;
    const lease_number lease = lease_of(lock).lease();
    if (now < next_attempts_[key]) {
        return;
    }
    next_attempts_[key] = now + min_write_interval;
    const call_number number =
        options_.call(change_items{{.expected = {expected_revision{{.key = key, .revision = expected}}},
                                    .writes = {store_item{{.key = key, .value = value, .lease = lease}}}}},
                      write_timeout);
    pending_writes_[number] = {.key = key, .lease = lease};
}

bool daemon_registrar::handle(const store_answer& answer, instant now)
{
    if (registration_lease_->handle(answer, now) || lock_lease_->handle(answer, now)) {
        claims_due_ = now; // The lease may be new, and its locks with it.
        return true;
    }
    const auto found = pending_writes_.find(answer->number);
    if (found == pending_writes_.end()) {
        return false;
    }
    const pending_write written = found->second;
    pending_writes_.erase(found);
    options_.log("store_write", "key=" + written.key + " outcome=" + call_outcome_name(answer->outcome) +
                                    " revision=" + std::to_string(answer->revision));
    if (answer->outcome == call_outcome::done && written.key == own_key()) {
        registered_with_ = written.lease;
        registered_at_ = now;
    }
    return true;
}

void daemon_registrar::note_era(store_era era, instant now)
{
    registration_lease_->note_era(era, now);
    lock_lease_->note_era(era, now);
}

void daemon_registrar::leave(instant now)
{
    deregistered_ = true;
    lock_lease_->leave(now);
    registration_lease_->leave(now);
}

std::optional<std::uint64_t> daemon_registrar::fence(const std::string& service, instant now) const
{
    const auto held = directory_.failover_locks().find(service);
    if (deregistered_ || held == directory_.failover_locks().end() || !is_own(held->second)) {
        return std::nullopt;
    }
    if (is_rejected(held->second)) {
        return std::nullopt;
    }
    if (!lock_lease_->valid(now) && !options_.fences_enforced) {
        return std::nullopt;
    }
    return fencing_token(held->second->acquired_at);
}

std::optional<std::uint64_t> daemon_registrar::held_lasting_lock(const std::string& name, instant now) const
{
    const auto held = directory_.failover_locks().find(name);
    if (deregistered_ || held == directory_.failover_locks().end() || !is_own(held->second) ||
        !lease_of(name).valid(now)) {
        return std::nullopt;
    }
    return fencing_token(held->second->acquired_at);
}

/// Whether the platform has rejected the lock's fencing token.
bool daemon_registrar::is_rejected(const failover_lock& lock) const
{
    const auto refused = refused_fences_.find(lock->service);
    return refused != refused_fences_.end() && refused->second >= fencing_token(lock->acquired_at);
}

void daemon_registrar::fence_refused(const std::string& service, std::uint64_t fence)
{
    refused_fences_[service] = std::max(refused_fences_[service], fence);
    claims_due_ = instant{}; // At once; repeated until the lock has a higher token.
}

void daemon_registrar::raise_fence(const std::string& service, instant now)
{
    const auto held = directory_.failover_locks().find(service);
    if (held == directory_.failover_locks().end() || !is_own(held->second) || lock_lease_->lease() == 0) {
        return;
    }
    write_lock(service, options_.encode_failover_lock(held->second), held->second->acquired_at.revision, now);
}

} // namespace citronfall
