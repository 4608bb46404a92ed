#include "mirror/mirror_table.h"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace citronfall {
namespace {

/// Number of deletions kept for peers that were disconnected; a peer that missed more gets all items.
constexpr std::size_t max_deletions = 256;

/// Limit on the replaced large values that are kept, besides the last one. Peers are seldom more than a few changes
/// behind.
constexpr std::size_t max_kept_bytes = 2 * 1024 * 1024;

/// Digest of one item. It must be the same on all daemons.
std::uint64_t digest_of(const store_item& item)
{
    std::uint64_t hash = 14695981039346656037ULL ^ item->revision;
    for (const char c : item->key) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdULL;
    return hash ^ (hash >> 33U);
}

} // namespace

void mirror_table::apply_changes(const std::vector<store_item>& items, const store_revision& at)
{
    assert(at.era == era());
    for (const store_item& each : items) {
        apply(each);
    }
    complete_to_.revision = std::max(complete_to_.revision, at.revision);
}

void mirror_table::confirm(const store_revision& at)
{
    if (at.era == era()) {
        complete_to_.revision = std::max(complete_to_.revision, at.revision);
    }
}

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
    changed_at_.revision = std::max(changed_at_.revision, item->revision);
    if (item->deleted) {
        remember_deletion(item);
        if (held == items_.end()) {
            return;
        }
        erase(item->key);
    } else {
        store(item);
    }
    changed_(item, era());
}

void mirror_table::store(const store_item& item)
{
    if (const auto held = items_.find(item->key); held != items_.end()) {
        remember_value(held->second);
    }
    erase(item->key);
    items_.emplace(item->key, item);
    contents_ ^= digest_of(item);
}

void mirror_table::erase(const std::string& key)
{
    if (const auto held = items_.find(key); held != items_.end()) {
        contents_ ^= digest_of(held->second);
        items_.erase(held);
    }
}

void mirror_table::remember_deletion(const store_item& item)
{
    deletions_.push_back(item);
    if (deletions_.size() > max_deletions) {
        deletions_dropped_until_ = std::max(deletions_dropped_until_, deletions_.front()->revision);
        deletions_.pop_front();
    }
}

void mirror_table::remember_value(const store_item& item)
{
    if (item->value.size() < large_value_bytes) {
        return;
    }
    former_values_.push_back(item);
    former_bytes_ += item->value.size();
    while (former_values_.size() > 1 && former_bytes_ > max_kept_bytes) {
        former_bytes_ -= former_values_.front()->value.size();
        former_values_.pop_front();
    }
}

const std::string* mirror_table::value_at(const std::string& key, kv_revision revision) const
{
    if (const auto held = items_.find(key); held != items_.end() && held->second->revision == revision) {
        return &held->second->value;
    }
    const auto former = std::find_if(former_values_.begin(), former_values_.end(), [&](const store_item& each) {
        return each->key == key && each->revision == revision;
    });
    return former == former_values_.end() ? nullptr : &(*former)->value;
}

void mirror_table::apply_snapshot(const std::vector<store_item>& items, const store_revision& at)
{
    if (at.era < era()) {
        return;
    }
    if (at.era > era()) {
        replace_all(items, at);
    } else {
        std::set<std::string> present;
        for (const store_item& each : items) {
            present.insert(each->key);
        }
        std::vector<store_item> missing;
        for (const auto& [key, held] : items_) {
            if (!present.contains(key) && held->revision <= at.revision) {
                missing.push_back(store_item{{.key = key, .revision = at.revision, .deleted = true}});
            }
        }
        for (const store_item& each : missing) {
            apply(each);
        }
        for (const store_item& each : items) {
            apply(each);
        }
    }
    // Items that were deleted before the snapshot, and that this copy never had, are not among the known deletions.
    deletions_dropped_until_ = std::max(deletions_dropped_until_, at.revision);
    complete_to_.revision = std::max(complete_to_.revision, at.revision);
}

/// Starts a new era: its items replace all others whatever their revisions are.
void mirror_table::replace_all(const std::vector<store_item>& items, const store_revision& at)
{
    const std::map<std::string, store_item> former = std::exchange(items_, {});
    deletions_.clear();
    former_values_.clear();
    former_bytes_ = 0;
    deletions_dropped_until_ = 0;
    contents_ = 0;
    changed_at_ = {.era = at.era, .revision = 0};
    complete_to_ = {.era = at.era, .revision = 0};
    std::set<std::string> present;
    for (const store_item& each : items) {
        present.insert(each->key);
    }
    for (const auto& [key, held] : former) {
        if (!present.contains(key)) {
            changed_(store_item{{.key = key, .revision = at.revision, .deleted = true}}, at.era);
        }
    }
    for (const store_item& each : items) {
        apply(each);
    }
}

std::vector<store_item> mirror_table::changes_after(const store_revision& known) const
{
    std::vector<store_item> changes;
    const bool all = !has_all_changes_since(known);
    for (const auto& [key, item] : items_) {
        if (all || item->revision > known.revision) {
            changes.push_back(item);
        }
    }
    for (const store_item& each : deletions_) {
        if (all || each->revision > known.revision) {
            changes.push_back(each);
        }
    }
    return changes;
}

} // namespace citronfall
