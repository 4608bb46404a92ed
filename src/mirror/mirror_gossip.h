#pragma once

#include "citronfall/instant.h"
#include "citronfall/peer_message.h"
#include "mirror/store_mirror.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronfall {

/// Settings and hooks of a mirror_gossip. The hooks are called on the decision thread.
struct mirror_gossip_options {
    std::vector<store_mirror*> mirrors;                                ///< In the same order on all daemons.
    std::function<void(const std::string&, const peer_message&)> send; ///< Sends to one peer.
    std::function<std::uint64_t(std::uint64_t)> random;                ///< Random number below its argument.
    std::function<void(const std::string&, const std::string&)> log;   ///< Event name, fields.
};

/// Exchanges changes to the store between daemons, so that a daemon that cannot reach the store still receives them.
///
/// Each second a daemon sends some of its peers a digest of the revisions that it holds. A peer that is behind requests
/// what it is missing: at once if it cannot reach the store, otherwise once its own watch has had time to deliver the
/// changes. Not thread-safe: owned by the decision thread.
class mirror_gossip {
public:
    explicit mirror_gossip(mirror_gossip_options options) : options_(std::move(options)) {}

    /// Sends digests when due. Call it when next() is reached.
    void tick(instant now);

    /// When tick() has to be called next.
    [[nodiscard]] instant next() const { return next_digest_; }

    /// Makes the next digest due immediately, after a change that all daemons should receive soon.
    void announce() { next_digest_ = {}; }

    /// Reports that a peer connected.
    void connected(const std::string& peer);

    /// Reports that the connection to a peer was lost.
    void disconnected(const std::string& peer) { peers_.erase(peer); }

    void handle(const std::string& peer, const store_digest& digest, instant now);
    void handle(const std::string& peer, const store_request& request);
    void handle(const std::string& peer, const store_changes& changes, instant now);

    /// Whether any connected peer reports that it reaches the store.
    [[nodiscard]] bool peer_reaches_store() const;

private:
    struct peer_state {
        bool store_live = false;
    };

    /// A revision of a range that a peer has and this daemon lacks.
    struct missed_change {
        store_revision revision;
        instant since{};
    };

    [[nodiscard]] store_digest digest() const;

    mirror_gossip_options options_;
    std::map<std::string, peer_state> peers_;
    std::map<std::size_t, missed_change> missed_; ///< By range.
    instant next_digest_{};
};

} // namespace citronfall
