#pragma once

#include "citronfall/chart_program.h"
#include "citronfall/instant.h"
#include "citronfall/result.h"
#include "citronfall/store_changes.h"
#include "citronfall/store_revision.h"
#include "core/backoff.h"
#include "mirror/mirror_table.h"
#include "mirror/store_answer.h"
#include "mirror/store_call.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace citronfall {

/// Settings and hooks of a mirror. The hooks are called on the decision thread.
struct store_mirror_options {
    std::string prefix;
    duration watch_wait{};         ///< Long-poll time of a watch.
    duration batch_delay{};        ///< Delay before the next watch, to batch changes into one answer.
    bool starts_stale = true;      ///< The first read may be stale: a watch or a peer tells what it missed.
    std::function<bool()> watches; ///< Whether this daemon watches the store, rather than follow peers that do.
    std::function<call_number(call_body, duration timeout)> call;
    mirror_table::changed_hook changed;
    std::function<void(const std::string&, const std::string&)> log; ///< Event name, fields.
};

/// Maintains a copy of one prefix of the store by reading it once and then watching it, or following peers that watch
/// it (chart `store_mirror`).
///
/// If the store has compacted the revisions to watch from, or was restored from a copy, a daemon that watches reads the
/// whole prefix again; one that follows gets it from a peer. Not thread-safe: owned by the decision thread.
class store_mirror {
public:
    /// Error (bad_request): the chart does not match the bindings.
    [[nodiscard]] static result<std::unique_ptr<store_mirror>> make(store_mirror_options options);

    /// Starts a read or a watch when due. Call it when next() is reached.
    void tick(instant now);

    /// When tick() has to be called next; nothing while a call is in flight or the daemon follows peers.
    [[nodiscard]] std::optional<instant> next() const;

    /// Handles an answer of the platform. Returns false, without effect, if the call was not made by this object.
    bool handle(const store_answer& answer, instant now);

    /// Applies changes received from a peer; those of an earlier era have no effect.
    void apply_peer_changes(const store_changes& changes, instant now);

    /// Reports the era of any answer of the store. If it is later than that of the copy, a daemon that watches reads
    /// the prefix again.
    void note_era(store_era era, instant now);

    /// Reports that a peer's copy with the same contents is complete up to `at`.
    void confirm(const store_revision& at) { table_.confirm(at); }

    /// Ends a watch that has not told of a change that a peer knows: its answer was lost.
    void abandon_watch(instant now);

    /// The copied items.
    [[nodiscard]] const mirror_table& table() const { return table_; }

    /// Whether the last call succeeded, the initial read is complete and the daemon watches the store.
    [[nodiscard]] bool live() const { return live_; }

    /// When a call last failed or the store was last found to be restored; empty if neither happened.
    [[nodiscard]] std::optional<instant> failed_at() const { return failed_at_; }

    [[nodiscard]] const std::string& prefix() const { return options_.prefix; }

private:
    enum class event : std::uint8_t {
        due,
        page_read,
        changed,
        history_gone,
        restored,
        failed,
        too_long,
        unreadable,
        hung,
    };
    struct context {
        store_mirror& mirror;
        const store_answer* answer = nullptr;
        instant now;
    };

    explicit store_mirror(store_mirror_options options);

    result<done> bind();
    static chart_bindings<context> bindings();
    void fire(event what, const store_answer* answer, instant now);
    void read_page();
    void add_page(const store_answer& page);
    void start_watch();
    void note_failure(const store_answer& answer, instant now);
    [[nodiscard]] event event_of(const store_answer& answer) const;
    [[nodiscard]] store_era known_era() const;
    [[nodiscard]] store_era era_of(const store_answer& answer) const;
    [[nodiscard]] bool following() const;
    void start_reading();
    void apply_pages();
    void apply_events(const store_answer& answer);

    store_mirror_options options_;
    duration read_timeout_; ///< Timeout of the next page read.
    backoff backoff_;
    mirror_table table_;
    std::optional<chart_program<event, context>> program_;
    state_id state_{};
    call_number pending_call_ = 0;
    instant next_attempt_{};
    std::vector<store_item> page_items_;
    store_revision snapshot_at_;  ///< Revision up to which the pages are complete.
    store_revision watched_from_; ///< The watch in flight, or the last one, started after it.
    bool reads_stale_;            ///< The next read may be stale.
    bool live_ = false;
    std::optional<instant> failed_at_;
};

} // namespace citronfall
