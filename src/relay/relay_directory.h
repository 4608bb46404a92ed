#pragma once

#include "citronfall/instant.h"
#include "relay/service_assignment.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// Which daemons hold connections to the members of each service, and to which of them this daemon can relay.
///
/// Assignments are computed when the services or the registered daemons change, and the lists of connected daemons when
/// a peer connects, leaves or is lost, so that look-ups cost the same whatever the number of daemons. Not thread-safe:
/// owned by the decision thread.
class relay_directory {
public:
    explicit relay_directory(relay_candidate self) : self_(std::move(self)) {}

    /// Sets the connections that each member of a service accepts (0: no limit), by service, and the registered
    /// daemons, without this one. Without effect if nothing has changed.
    void configure(const std::map<std::string, std::uint32_t>& limits, const std::vector<relay_candidate>& daemons,
                   instant now);

    /// Sets the share of each tenant (0 to 1) in the load that the operators allow all tenants together. With tenants,
    /// a connection serves one tenant only, and the statements of a small tenant meet at one assigned daemon. Takes
    /// effect with the next configure().
    void set_tenant_shares(std::map<std::string, double> shares);

    /// Reports that a peer connected.
    void connected(const std::string& peer, instant now);

    /// Reports that the connection to a peer was lost.
    void disconnected(const std::string& peer, instant now);

    /// Reports that a peer shuts down. It is used only where no other assigned daemon is connected.
    void leaves(const std::string& peer, instant now);

    /// Replaces pinned daemons to which no connection comes about, by the next ones in order. Returns whether the
    /// pinned daemons have changed. Call it every few tenths of a second.
    bool replace_unreachable(instant now);

    /// Whether this daemon is assigned to the service. True for an unknown service.
    [[nodiscard]] bool is_assigned(const std::string& service) const;

    /// Position of this daemon among those assigned to the service, from 0; nothing if it is not assigned or the
    /// service is unknown.
    [[nodiscard]] std::optional<std::size_t> own_position(const std::string& service) const;

    /// The daemons assigned to the service, this one included; empty for an unknown service.
    [[nodiscard]] const std::vector<std::string>& assigned(const std::string& service) const;

    /// The connected daemons assigned to the service, in the order in which this daemon relays to them.
    [[nodiscard]] const std::vector<std::string>& connected_to(const std::string& service) const;

    /// The daemons to which a new statement of the service can be relayed: the first of those that are connected and,
    /// if possible, do not shut down. At most two; empty if none is connected.
    [[nodiscard]] const std::vector<std::string>& targets(const std::string& service) const;

    /// As targets(), for the statements of a tenant: of the daemons that run them, those to which this daemon is
    /// connected. Empty if this daemon is one of them itself or is not connected to any.
    [[nodiscard]] const std::vector<std::string>& targets(const std::string& service, const std::string& tenant);

    /// Daemons to stay connected to.
    [[nodiscard]] const std::map<std::string, instant>& pinned() const { return pinned_; }

    /// Whether there is a service that this daemon can serve only by relaying, and to which it can relay.
    [[nodiscard]] bool relays_somewhere() const { return relays_somewhere_; }

    /// Connected peers.
    [[nodiscard]] const std::set<std::string>& peers() const { return peers_; }

    /// Whether a connected peer shuts down.
    [[nodiscard]] bool is_leaving(const std::string& peer) const { return leaving_.contains(peer); }

private:
    /// What is known of one service.
    struct service_entry {
        service_assignment assignment;
        std::vector<std::string> connected;
        std::vector<std::string> targets;
        std::map<std::string, std::vector<std::string>> tenant_targets; ///< By tenant; computed when first asked for.
    };

    void update_connected();
    void update_pinned(instant now);
    [[nodiscard]] bool may_pin(const std::string& daemon) const;
    [[nodiscard]] const service_entry* find(const std::string& service) const;
    [[nodiscard]] std::vector<std::string> tenant_targets(const std::string& service, const service_entry& entry,
                                                          const std::string& tenant) const;
    [[nodiscard]] connection_sharing sharing() const;

    relay_candidate self_;
    std::map<std::string, std::uint32_t> limits_;
    std::vector<relay_candidate> daemons_;
    std::map<std::string, double> tenant_shares_;
    bool shares_changed_ = false;
    std::set<std::string> peers_;
    std::set<std::string> leaving_;
    std::map<std::string, service_entry> services_;
    std::map<std::string, instant> pinned_;      ///< Daemons, with the time since when they are pinned.
    std::map<std::string, instant> unreachable_; ///< Daemons that are not pinned until the time stated.
    bool relays_somewhere_ = false;
};

} // namespace citronfall
