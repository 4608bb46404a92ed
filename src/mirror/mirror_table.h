#pragma once

#include "citronfall/ids.h"
#include "citronfall/store_item.h"
#include "citronfall/store_revision.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronfall {

/// Values of at least this size are large: they travel between daemons as differences, for which a table keeps some
/// that were replaced.
inline constexpr std::size_t large_value_bytes = 4096;

/// Copy of the items under one prefix of the store, all of one era. Within the era an item is only ever replaced by a
/// higher revision, in whatever order changes arrive from the store and from peers; a later era replaces all items.
///
/// The copy is complete up to a revision: no change up to it is missing. Deletions leave nothing behind in a snapshot,
/// so only complete copies can be compared, by that revision and by a digest of their contents.
///
/// Not thread-safe: owned by the decision thread.
class mirror_table {
public:
    /// Called for each item that changed, deletions included, with the era of the item.
    using changed_hook = std::function<void(const store_item&, store_era)>;

    explicit mirror_table(changed_hook changed) : changed_(std::move(changed)) {}

    /// Applies changes and deletions, each if it is newer than the stored item: all that followed complete_to(), up to
    /// `at`. Precondition: `at` is of the table's era; changes of any other era have to be dropped or read again as a
    /// whole.
    void apply_changes(const std::vector<store_item>& items, const store_revision& at);

    /// Applies `items`, the whole content of the prefix at `at`. In the table's era, stored items up to that revision
    /// that are not among them are deleted. A later era replaces all stored items; an earlier one has no effect.
    /// Precondition: no item is a deletion.
    void apply_snapshot(const std::vector<store_item>& items, const store_revision& at);

    /// The items, without deleted ones, by key.
    [[nodiscard]] const std::map<std::string, store_item>& items() const { return items_; }

    /// Era of all items; 0 before the first snapshot.
    [[nodiscard]] store_era era() const { return changed_at_.era; }

    /// Highest revision of a change under the prefix; 0 before the first.
    [[nodiscard]] const store_revision& changed_at() const { return changed_at_; }

    /// Revision up to which no change is missing; 0 before the first snapshot.
    [[nodiscard]] const store_revision& complete_to() const { return complete_to_; }

    /// Reports that a copy with the same contents is complete up to `at`, and so is this one.
    void confirm(const store_revision& at);

    /// Digest of the items and their revisions. Equal copies have equal digests.
    [[nodiscard]] std::uint64_t contents() const { return contents_; }

    /// Value of an item at a revision of the table's era; null if it is neither the current one nor among the last
    /// large ones.
    [[nodiscard]] const std::string* value_at(const std::string& key, kv_revision revision) const;

    /// All changes after `known`, deletions included. All items if `known` is of another era or if some deletions since
    /// then are no longer stored.
    [[nodiscard]] std::vector<store_item> changes_after(const store_revision& known) const;

    /// Whether changes_after(known) can leave out the items that did not change.
    [[nodiscard]] bool has_all_changes_since(const store_revision& known) const
    {
        return known.era == era() && known.revision >= deletions_dropped_until_;
    }

private:
    void apply(const store_item& item);
    void store(const store_item& item);
    void erase(const std::string& key);
    void remember_deletion(const store_item& item);
    void remember_value(const store_item& item);
    void replace_all(const std::vector<store_item>& items, const store_revision& at);

    changed_hook changed_;
    std::map<std::string, store_item> items_;
    std::deque<store_item> deletions_;     ///< Newest last.
    std::deque<store_item> former_values_; ///< Replaced large items, newest last.
    std::size_t former_bytes_ = 0;         ///< Of the values of former_values_.
    store_revision changed_at_;
    store_revision complete_to_;
    std::uint64_t contents_ = 0;
    kv_revision deletions_dropped_until_ = 0; ///< Deletions up to this revision may be unknown.
};

} // namespace citronfall
