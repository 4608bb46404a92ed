#pragma once

#include "citronfall/instant.h"
#include "citronfall/peer_message.h"
#include "citronfall/result.h"
#include "mirror/mirror_gossip.h"
#include "mirror/store_mirror.h"
#include "mirror/watcher_choice.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// A range of the store to copy.
struct replicated_range {
    std::string prefix;
    duration batch_delay{};   ///< Between two watches, to batch changes into one answer.
    bool starts_stale = true; ///< The first read may be seconds old, at a lower cost.
    bool has_daemons = false; ///< It holds the registrations of the daemons.
};

/// Settings and hooks of a store_replica. The hooks are called on the decision thread.
struct store_replica_options {
    watcher_candidate self;
    std::vector<replicated_range> ranges; ///< In the same order on all daemons.
    bool first_start = false;             ///< All daemons start for the first time.
    std::function<call_number(call_body, duration timeout)> call;
    mirror_table::changed_hook changed;
    std::function<void(const std::string&, const peer_message&)> send; ///< Sends to one peer.
    std::function<std::uint64_t(std::uint64_t)> random;                ///< Random number below its argument.
    std::function<void(const std::string&, const std::string&)> log;   ///< Event name, fields.
};

/// This daemon's copy of some ranges of the store.
///
/// In a small fleet each daemon watches the store. In a larger one a few daemons of each data centre do, and the others
/// follow them; a daemon that no watcher has confirmed its copy for seconds watches by itself until one does. Not
/// thread-safe: owned by the decision thread.
class store_replica {
public:
    /// Error (bad_request): the chart `store_mirror` does not match its bindings.
    [[nodiscard]] static result<std::unique_ptr<store_replica>> make(store_replica_options options);

    /// Performs work that is due. Call it when next() is reached, and at least every 100 ms.
    void tick(instant now);

    /// When tick() has to be called next for a call to the store; nothing if none is due. Digests wait for the next
    /// tick.
    [[nodiscard]] std::optional<instant> next() const;

    /// Handles an answer of the platform. Returns false if the call was not made by this object; the era that the
    /// answer states counts in any case.
    bool handle(const store_answer& answer, instant now);

    /// Sets the registered daemons, without this one.
    void set_daemons(std::vector<watcher_candidate> daemons);

    /// The watchers to stay connected to.
    [[nodiscard]] const std::set<std::string>& followed() const { return followed_; }

    /// Makes the next digest to peers due immediately, after a change that all daemons should receive soon.
    void announce() { gossip_->announce(); }

    void connected(const std::string& peer, instant now) { gossip_->connected(peer, now); }
    void disconnected(const std::string& peer) { gossip_->disconnected(peer); }
    void handle(const std::string& peer, const store_digest& digest, instant now);
    void handle(const std::string& peer, const store_request& request) { gossip_->handle(peer, request); }
    void handle(const std::string& peer, const store_changes& changes, instant now);

    /// When the store last failed to answer this daemon or, as far as known, one that watches it.
    [[nodiscard]] std::optional<instant> store_failed_at() const { return gossip_->store_failed_at(); }

    /// Latest era of the store that the copies or the digests of peers state.
    [[nodiscard]] store_era era() const { return gossip_->era(); }

    /// Whether this daemon has a copy of the registrations of the daemons.
    [[nodiscard]] bool has_daemons() const;

    /// Whether this daemon watches the store at present.
    [[nodiscard]] bool watches() const;

private:
    explicit store_replica(store_replica_options options) : options_(std::move(options)) {}

    result<done> build();
    void check_confirmation();
    [[nodiscard]] bool watches(const replicated_range& range) const;
    [[nodiscard]] std::vector<std::string> recipients(const std::set<std::string>& peers) const;

    store_replica_options options_;
    std::vector<std::unique_ptr<store_mirror>> mirrors_;
    std::unique_ptr<mirror_gossip> gossip_;
    std::set<std::string> watchers_;  ///< Empty if all daemons watch.
    std::set<std::string> followed_;  ///< Watchers that this daemon stays connected to.
    std::set<std::string> followers_; ///< Daemons that stay connected to this one, if it watches.
    duration follow_limit_{};         ///< A copy that was not confirmed for this long is not relied on.
    instant watches_until_{};         ///< Until then this daemon watches because no watcher confirmed its copy.
    instant started_at_{};            ///< First tick.
    instant now_{};
};

} // namespace citronfall
