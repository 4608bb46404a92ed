#pragma once

#include "citronfall/instant.h"
#include "citronfall/peer_message.h"
#include "mirror/store_mirror.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronfall {

/// Hooks of a mirror relay; called on the decision thread.
struct mirror_gossip_options {
    std::vector<store_mirror*> mirrors;                                ///< In the same order on all daemons.
    std::function<void(const std::string&, const peer_message&)> send; ///< To one peer.
    std::function<std::uint64_t(std::uint64_t)> random;                ///< A number below its argument.
    std::function<void(const std::string&, const std::string&)> log;   ///< Event and its fields.
};

/// Passes changes of the store on between daemons, so that a daemon that the store turns away still learns of them.
///
/// Each second a daemon tells its peers how new its copies are; one that is behind although the store had time to tell
/// it asks for what it missed. Not thread-safe: owned by the decision thread.
class mirror_gossip {
public:
    explicit mirror_gossip(mirror_gossip_options options) : options_(std::move(options)) {}

    /// Sends digests when they are due. To be called every few tens of milliseconds.
    void tick(instant now);

    /// Something changed that all daemons should know soon: the next digest is due at once.
    void announce() { next_digest_ = {}; }

    /// A peer connected.
    void connected(const std::string& peer);

    /// A peer's connection ended.
    void disconnected(const std::string& peer) { peers_.erase(peer); }

    void handle(const std::string& peer, const store_digest& digest, instant now);
    void handle(const std::string& peer, const store_request& request);
    void handle(const std::string& peer, const store_changes& changes);

    /// Whether a connected peer says that it hears from the store.
    [[nodiscard]] bool peer_reaches_store() const;

private:
    struct peer_state {
        bool store_live = false;
    };

    /// The newest revision of a range that a peer offered and this daemon lacks.
    struct missed_change {
        kv_revision revision = 0;
        instant since{};
    };

    [[nodiscard]] store_digest digest() const;

    mirror_gossip_options options_;
    std::map<std::string, peer_state> peers_;
    std::map<std::size_t, missed_change> missed_; ///< By range.
    instant next_digest_{};
};

} // namespace citronfall
