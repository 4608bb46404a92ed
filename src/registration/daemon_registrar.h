#pragma once

#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "directory/service_directory.h"
#include "registration/lease_client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace citronfall {

/// Settings and hooks of a daemon registrar. The hooks are called on the decision thread.
struct daemon_registrar_options {
    daemon_registration self;
    service_directory_keys keys;
    /// Position of this daemon, from 0, among those that may claim the lock of a service; nothing if it may not.
    std::function<std::optional<std::size_t>(const std::string& service)> claim_order;
    std::function<bool(const std::string& service)> uses_lock; ///< Whether a change of primary is in progress here.
    /// Locks besides those of services, attached to the registration's lease: they outlast a short outage of the store.
    std::set<std::string> lasting_locks{};
    std::function<bool()> claims_lasting_locks{}; ///< Whether these locks are of use; empty: they are not.
    bool fences_enforced = true; ///< The platform rejects promotions with a fencing token below one it has seen.
    std::function<call_number(call_body, duration timeout)> call;
    std::function<std::string(const daemon_registration&)> encode_daemon;
    std::function<std::string(const failover_lock&)> encode_failover_lock;
    std::function<void(const std::string&, const std::string&)> log; ///< Event name, fields.
};

/// Registers this daemon in the store and claims failover locks that are free.
///
/// The registration is attached to one lease, and all locks to another, which is shorter and only asked for when the
/// daemon claims its first lock: a dead holder must be replaced soon, while a dead daemon is missed by its peers at
/// once. The daemons assigned to a service may claim its lock: the first claims a free lock immediately and each
/// further one waits a little longer, which spreads the locks over the daemons and avoids races between them. Not
/// thread-safe: owned by the decision thread.
class daemon_registrar {
public:
    /// Error (bad_request): the chart `lease` does not match its bindings.
    [[nodiscard]] static result<std::unique_ptr<daemon_registrar>> make(daemon_registrar_options options,
                                                                        const service_directory& directory);

    /// Renews the leases, registers this daemon and claims free locks. Call it every few tenths of a second, after a
    /// change of the directory and after an answer.
    void tick(instant now);

    /// Reports that the directory or the order of claims has changed.
    void directory_changed(instant now) { claims_due_ = now; }

    /// Handles an answer of the platform. Returns false, without effect, if the call was not made by this object.
    bool handle(const store_answer& answer, instant now);

    /// Reports the era of any answer of the store. After a restore the daemon registers and claims its locks anew.
    void note_era(store_era era, instant now);

    /// Revokes the leases and with them the registration and all locks.
    void leave(instant now);

    /// The fencing token with which this daemon may change the primary of a service at `now`; empty if it may not. A
    /// lock whose lease could not be renewed in time, as when the store is unreachable, stays usable only if the
    /// platform enforces fencing tokens and no other holder is known.
    [[nodiscard]] std::optional<std::uint64_t> fence(const std::string& service, instant now) const;

    /// The fencing token of a lasting lock that this daemon certainly holds at `now`; empty if its lease may have
    /// ended.
    [[nodiscard]] std::optional<std::uint64_t> held_lasting_lock(const std::string& name, instant now) const;

    /// Reports that the platform rejected `fence` because it has seen a higher token: the lock is no longer held, and
    /// is taken again.
    void fence_refused(const std::string& service, std::uint64_t fence);

    /// Acquires the lock of a service again to get a higher fencing token, so that the platform rejects an earlier
    /// promotion request that got no answer and arrives late.
    void raise_fence(const std::string& service, instant now);

private:
    /// A write in flight.
    struct pending_write {
        std::string key;
        lease_number lease = 0; ///< Lease that the key is attached to.
    };

    daemon_registrar(daemon_registrar_options options, const service_directory& directory)
        : options_(std::move(options)), directory_(directory)
    {
    }

    [[nodiscard]] std::string own_key() const;
    [[nodiscard]] bool registered(instant now) const;
    void register_self(instant now);
    void claim_failover_locks(instant now);
    [[nodiscard]] std::optional<instant> release_failover_lock(const std::string& service, instant now);
    [[nodiscard]] std::optional<instant> claim_failover_lock(const std::string& service, std::size_t order,
                                                             instant now);
    [[nodiscard]] std::optional<instant> claim_or_release(const std::string& lock, instant now);
    [[nodiscard]] lease_client& lease_of(const std::string& lock) const;
    void write_lock(const std::string& lock, const std::string& value, kv_revision expected, instant now);
    [[nodiscard]] bool is_own(const failover_lock& lock) const;
    [[nodiscard]] bool is_rejected(const failover_lock& lock) const;

    daemon_registrar_options options_;
    const service_directory& directory_;
    std::unique_ptr<lease_client> registration_lease_;
    std::unique_ptr<lease_client> lock_lease_;
    bool claims_locks_ = false; ///< The daemon has had its turn to claim a lock, and needs the lock lease.
    std::map<call_number, pending_write> pending_writes_;
    std::map<std::string, instant> next_attempts_;        ///< By key.
    std::map<std::string, instant> free_since_;           ///< When the lock was found free, by service.
    std::map<std::string, std::uint64_t> refused_fences_; ///< Highest rejected fencing token, by service.
    std::optional<instant> claims_due_;                   ///< When locks have to be looked at again.
    lease_number registered_with_ = 0;                    ///< Lease of the last successful registration.
    instant registered_at_{};
    bool deregistered_ = false;
};

} // namespace citronfall
