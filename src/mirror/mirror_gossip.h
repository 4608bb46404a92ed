#pragma once

#include "citronfall/instant.h"
#include "citronfall/peer_message.h"
#include "mirror/item_delta_cache.h"
#include "mirror/store_mirror.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// Settings and hooks of a mirror_gossip. The hooks are called on the decision thread.
struct mirror_gossip_options {
    std::vector<store_mirror*> mirrors;                                ///< In the same order on all daemons.
    std::function<void(const std::string&, const peer_message&)> send; ///< Sends to one peer.
    /// Chooses the recipients of a digest among the connected peers.
    std::function<std::vector<std::string>(const std::set<std::string>&)> recipients;
    std::function<void(const std::string&, const std::string&)> log; ///< Event name, fields.
};

/// Exchanges changes to the store between daemons, so that a daemon that does not watch the store, or cannot reach it,
/// receives them.
///
/// Each second a daemon sends some of its peers a digest of its copies. A peer that is behind requests what it is
/// missing: at once if it does not watch the store, otherwise once its own watch has had time to deliver the changes.
/// It has one request for a range in progress; only when that is overdue does it turn to another peer. A large value
/// is sent as the difference from the one that the request says is held, and otherwise compressed
/// (docs/design/growing-configuration.md). The digests also tell how long ago a copy was last known to be up to date.
/// Not thread-safe: owned by the decision thread.
class mirror_gossip {
public:
    explicit mirror_gossip(mirror_gossip_options options) : options_(std::move(options)) {}

    /// Sends digests when due. Call it every few tenths of a second.
    void tick(instant now);

    /// Makes the next digest due immediately, after a change that all daemons should receive soon.
    void announce() { next_digest_ = {}; }

    /// Reports that a peer connected.
    void connected(const std::string& peer, instant now);

    /// Reports that the connection to a peer was lost.
    void disconnected(const std::string& peer);

    void handle(const std::string& peer, const store_digest& digest, instant now);
    void handle(const std::string& peer, const store_request& request);
    void handle(const std::string& peer, const store_changes& changes, instant now);

    /// When the copies were last known to be up to date, by a watch of this daemon or of a peer; nothing if they never
    /// were.
    [[nodiscard]] std::optional<instant> current_at(instant now) const;

    /// As current_at(), but without the watches of this daemon.
    [[nodiscard]] std::optional<instant> confirmed_at() const { return confirmed_at_; }

    /// Latest era that a copy or a peer's digest states.
    [[nodiscard]] store_era era() const;

    /// When a call to the store last failed, of this daemon or, as far as known, of a peer that watches the store.
    [[nodiscard]] std::optional<instant> store_failed_at() const;

private:
    /// State of a peer's copies that was up to date at some time.
    struct current_copy {
        instant at{};
        std::vector<store_revision> complete_to; ///< By range.
    };

    /// A peer's copy of a range that has changes which this daemon lacks.
    struct offer {
        std::string peer;
        store_revision revision;
    };

    /// How large values may be sent. Each form is tried when a value in the one before could not be read.
    enum class value_form : std::uint8_t { differences, compressed, plain };

    /// A request for the changes of a range that has not been answered.
    struct pending_request {
        std::string peer;
        instant due{}; ///< Overdue from then on.
    };

    /// Changes of a range that peers have and this daemon lacks.
    struct missed_change {
        instant since{};
        std::vector<offer> offers; ///< The oldest first; at least one.
        bool up_to_date = false;   ///< One of them was known to be up to date.
        std::optional<pending_request> request;
        unsigned requests = 0; ///< Sent so far.
        value_form form = value_form::differences;
    };

    [[nodiscard]] store_digest digest(instant now) const;
    [[nodiscard]] bool live() const;
    void compare(const std::string& peer, std::size_t range, const range_digest& offered, bool up_to_date, instant now);
    void note_current_copy(const store_digest& digest, instant now);
    void confirm_copies();
    void note_missed(const std::string& peer, std::size_t range, const store_revision& offered, bool up_to_date,
                     instant now);
    void drop_settled_offers(std::size_t range);
    void request_missed(std::size_t range, instant now);
    void send_request(const offer& from, std::size_t range, instant now);
    void note_unreadable_value(const std::string& peer, std::size_t range, const error& problem, instant now);
    [[nodiscard]] result<store_changes> with_values(const store_changes& changes) const;
    [[nodiscard]] result<store_item> value_of_delta(std::size_t range, const store_era& era,
                                                    const item_delta& delta) const;

    mirror_gossip_options options_;
    std::set<std::string> peers_;
    std::map<std::size_t, missed_change> missed_; ///< By range.
    item_delta_cache deltas_;
    std::deque<current_copy> current_copies_; ///< Of peers, newest last, that this daemon has not caught up with.
    std::optional<instant> confirmed_at_;     ///< Latest time for which a peer confirmed the copies.
    store_era peer_era_ = 0;
    std::optional<instant> peer_failed_at_; ///< Latest failure of the store that a peer reported.
    instant next_digest_{};
};

} // namespace citronfall
