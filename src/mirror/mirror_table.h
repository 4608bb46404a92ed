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

/// Copy of the items under one prefix of the store. Items only move to higher revisions, whatever order they arrive in
/// and whether they come from the store or from a peer.
///
/// Not thread-safe: owned by the decision thread.
class mirror_table {
public:
    /// Called for each item that changed, deletions included.
    using changed_hook = std::function<void(const store_item&)>;

    explicit mirror_table(changed_hook changed) : changed_(std::move(changed)) {}

    /// Takes over one item or deletion if it is newer than what is held.
    void apply(const store_item& item);

    /// Takes over everything that stood under the prefix at `revision`; held items of that age or older that are
    /// missing were deleted.
    void apply_snapshot(const std::vector<store_item>& items, kv_revision revision);

    /// The items, without deleted ones, by key.
    [[nodiscard]] const std::map<std::string, store_item>& items() const { return items_; }

    /// Highest revision of a change under the prefix; 0 before the first.
    [[nodiscard]] kv_revision changed_at() const { return changed_at_; }

    /// Everything that changed after `revision`, deletions included; all items if deletions of that age are forgotten.
    [[nodiscard]] std::vector<store_item> changes_after(kv_revision revision) const;

    /// Whether changes_after(revision) holds every deletion since.
    [[nodiscard]] bool has_all_deletions_since(kv_revision revision) const { return revision >= forgotten_until_; }

private:
    void remember_deletion(const store_item& item);

    changed_hook changed_;
    std::map<std::string, store_item> items_;
    std::deque<store_item> deletions_; ///< Newest last.
    kv_revision changed_at_ = 0;
    kv_revision forgotten_until_ = 0; ///< Deletions up to this revision may be missing.
};

} // namespace citronfall
