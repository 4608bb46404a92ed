#include "mirror/mirror_table.h"

#include <algorithm>
#include <set>

namespace citronfall {
namespace {

/// Number of deletions kept for peers that were disconnected; a peer that missed more gets all items.
constexpr std::size_t max_deletions = 256;

} // namespace

void mirror_table::apply(const store_item& item)
{
    const auto held = items_.find(item->key);
    if (held != items_.end() && held->second->revision >= item->revision) {
        return;
    }
    const bool deleted_since = std::any_of(deletions_.begin(), deletions_.end(), [&](const store_item& each) {
        return each->key == item->key && each->revision >= item->revision;
    });
    if (deleted_since) {
        return;
    }
    changed_at_ = std::max(changed_at_, item->revision);
    if (item->deleted) {
        remember_deletion(item);
        if (held == items_.end()) {
            return;
        }
        items_.erase(held);
    } else {
        items_[item->key] = item;
    }
    changed_(item);
}

void mirror_table::remember_deletion(const store_item& item)
{
    deletions_.push_back(item);
    if (deletions_.size() > max_deletions) {
        deletions_dropped_until_ = std::max(deletions_dropped_until_, deletions_.front()->revision);
        deletions_.pop_front();
    }
}

void mirror_table::apply_snapshot(const std::vector<store_item>& items, kv_revision revision)
{
    std::set<std::string> present;
    for (const store_item& each : items) {
        present.insert(each->key);
    }
    std::vector<store_item> missing;
    for (const auto& [key, held] : items_) {
        if (!present.contains(key) && held->revision <= revision) {
            missing.push_back(store_item{{.key = key, .revision = revision, .deleted = true}});
        }
    }
    for (const store_item& each : missing) {
        apply(each);
    }
    for (const store_item& each : items) {
        apply(each);
    }
}

std::vector<store_item> mirror_table::changes_after(kv_revision revision) const
{
    std::vector<store_item> changes;
    const bool all = !has_all_deletions_since(revision);
    for (const auto& [key, item] : items_) {
        if (all || item->revision > revision) {
            changes.push_back(item);
        }
    }
    for (const store_item& each : deletions_) {
        if (each->revision > revision) {
            changes.push_back(each);
        }
    }
    return changes;
}

} // namespace citronfall
