#pragma once

#include "citronfall/ids.h"
#include "citronfall/store_item.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronfall {

/// Copy of the items under one prefix of the store. An item is only ever replaced by a higher revision, in whatever
/// order changes arrive from the store and from peers.
///
/// Not thread-safe: owned by the decision thread.
class mirror_table {
public:
    /// Called for each item that changed, deletions included.
    using changed_hook = std::function<void(const store_item&)>;

    explicit mirror_table(changed_hook changed) : changed_(std::move(changed)) {}

    /// Applies one change or deletion if it is newer than the stored item.
    void apply(const store_item& item);

    /// Applies `items`, the whole content of the prefix at `revision`. Stored items up to that revision that are not
    /// among them are deleted.
    void apply_snapshot(const std::vector<store_item>& items, kv_revision revision);

    /// The items, without deleted ones, by key.
    [[nodiscard]] const std::map<std::string, store_item>& items() const { return items_; }

    /// Highest revision of a change under the prefix; 0 before the first.
    [[nodiscard]] kv_revision changed_at() const { return changed_at_; }

    /// All changes after `revision`, deletions included. All items if some deletions since then are no longer stored.
    [[nodiscard]] std::vector<store_item> changes_after(kv_revision revision) const;

    /// Whether every deletion after `revision` is still stored.
    [[nodiscard]] bool has_all_deletions_since(kv_revision revision) const
    {
        return revision >= deletions_dropped_until_;
    }

private:
    void remember_deletion(const store_item& item);

    changed_hook changed_;
    std::map<std::string, store_item> items_;
    std::deque<store_item> deletions_; ///< Newest last.
    kv_revision changed_at_ = 0;
    kv_revision deletions_dropped_until_ = 0; ///< Deletions up to this revision may have been dropped.
};

} // namespace citronfall
