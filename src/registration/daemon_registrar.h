#pragma once

#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "directory/service_directory.h"
#include "registration/lease_keeper.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace citronfall {

/// Settings and hooks of a presence. The hooks are called on the decision thread.
struct daemon_registrar_options {
    daemon_registration self;
    service_directory_keys keys;
    std::function<bool(const std::string& service)> may_claim; ///< This daemon reaches the service's members itself.
    bool fences_enforced = true; ///< The platform refuses promotions with a fence lower than one it has seen.
    std::function<call_number(call_body, duration timeout)> call;
    std::function<std::string(const daemon_registration&)> encode_daemon;
    std::function<std::string(const failover_lock&)> encode_failover_lock;
    std::function<void(const std::string&, const std::string&)> log; ///< Event and its fields.
};

/// Registers this daemon in the store and takes duties that nobody holds.
///
/// All entries are bound to one lease, so a daemon costs the store one renewal a second however many duties it holds.
/// For each service the daemons are ranked by a hash of both names; the first takes a free duty at once and each other
/// one waits a little longer, which spreads the duties and keeps the daemons from racing. Not thread-safe: owned by the
/// decision thread.
class daemon_registrar {
public:
    /// Error (bad_request): the chart of the lease does not fit.
    [[nodiscard]] static result<std::unique_ptr<daemon_registrar>> make(daemon_registrar_options options,
                                                                        const service_directory& known);

    /// Renews, registers and takes free duties. To be called every few tens of milliseconds.
    void tick(instant now);

    /// An answer of the platform; ignored unless it belongs to this object. Returns whether it did.
    bool handle(const store_answer& answer, instant now);

    /// Gives everything back.
    void leave(instant now);

    /// The fence with which this daemon may change the primary of a service at `now`; nothing if it may not. Once the
    /// lease is past its time, the duty is used further only if the platform checks fences and nobody else is known to
    /// hold it: the store is away then.
    [[nodiscard]] std::optional<std::uint64_t> fence(const std::string& service, instant now) const;

    /// The platform refused a fence of this daemon because it saw a higher one: the duty is no longer held.
    void fence_refused(const std::string& service, std::uint64_t fence);

    /// Takes the duty of a service anew for a higher fence, so that an earlier order that was not answered is refused
    /// when it is carried out late.
    void raise_fence(const std::string& service, instant now);

private:
    daemon_registrar(daemon_registrar_options options, const service_directory& known)
        : options_(std::move(options)), known_(known)
    {
    }

    void register_self(instant now);
    void claim_failover_locks(instant now);
    void claim_failover_lock(const std::string& service, instant now);
    void write(const std::string& key, const std::string& value, kv_revision expected, instant now);
    [[nodiscard]] std::size_t rank(const std::string& service) const;
    [[nodiscard]] bool own(const failover_lock& lock) const;

    daemon_registrar_options options_;
    const service_directory& known_;
    std::unique_ptr<lease_keeper> lease_;
    std::map<call_number, std::string> writes_;      ///< Keys of changes in progress.
    std::map<std::string, instant> next_attempts_;   ///< By key.
    std::map<std::string, instant> free_since_;      ///< Duties without a holder, by service.
    std::map<std::string, std::uint64_t> overtaken_; ///< Highest refused fence by service.
    lease_number registered_with_ = 0;               ///< Lease of the last accepted registration.
    bool left_ = false;
};

} // namespace citronfall
