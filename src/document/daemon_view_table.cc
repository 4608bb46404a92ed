#include "document/daemon_view_table.h"

#include "citronfall/part_digest.h"

#include <algorithm>

namespace citronfall {
namespace {

constexpr std::size_t max_entries = 256;
constexpr std::size_t max_selected = 16;

/// Covers several resend intervals, because a view crosses several hops. That interval grows with the number of
/// daemons once there are more of them than views in a digest.
constexpr duration expiry = std::chrono::seconds(10);
constexpr duration expiry_per_daemon = std::chrono::milliseconds(500);

constexpr duration resend_interval = std::chrono::seconds(3);

} // namespace

daemon_view_table::daemon_view_table(const std::string& daemon) : own_hash_(stable_hash(daemon)) {}

void daemon_view_table::heartbeat(std::uint64_t document, instant now)
{
    entry& own = entries_[own_hash_];
    own.view = daemon_view{{.daemon = own_hash_, .document = document, .beat = own.view->beat + 1}};
    own.last_heard = now;
}

void daemon_view_table::merge(const std::vector<daemon_view>& views, instant now)
{
    for (const daemon_view& each : views) {
        const auto found = entries_.find(each->daemon);
        if (each->daemon == own_hash_) {
            // A view from an earlier run of this daemon. Continue from its heartbeat counter; otherwise other daemons
            // would discard the new views as outdated.
            if (found != entries_.end() && each->beat > found->second.view->beat) {
                found->second.view =
                    with(found->second.view, [&](daemon_view_fields& fields) { fields.beat = each->beat + 1; });
            }
            continue;
        }
        if (found == entries_.end() && entries_.size() >= max_entries) {
            continue;
        }
        entry& known = entries_[each->daemon];
        if (known.view->beat < each->beat) {
            known.view = each;
            known.last_heard = now;
        }
    }
}

void daemon_view_table::expire(instant now)
{
    const duration limit = expiry + expiry_per_daemon * static_cast<duration::rep>(entries_.size());
    std::erase_if(entries_,
                  [&](const auto& each) { return each.first != own_hash_ && now - each.second.last_heard > limit; });
}

std::vector<daemon_view> daemon_view_table::select_for_digest(instant now)
{
    std::vector<entry*> due;
    for (auto& [daemon, each] : entries_) {
        const bool changed = each.view->document != each.sent_document;
        if (daemon == own_hash_ || changed || each.sent == instant::min() || now - each.sent >= resend_interval) {
            due.push_back(&each);
        }
    }
    const auto rank = [this](const entry* each) {
        return std::pair(each->view->daemon != own_hash_ && each->view->document == each->sent_document, each->sent);
    };
    std::sort(due.begin(), due.end(), [&](const entry* a, const entry* b) { return rank(a) < rank(b); });
    due.resize(std::min(due.size(), max_selected));
    std::vector<daemon_view> selected;
    for (entry* each : due) {
        each->sent = now;
        each->sent_document = each->view->document;
        selected.push_back(each->view);
    }
    return selected;
}

std::size_t daemon_view_table::count_in_force(std::uint64_t revision) const
{
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [=](const auto& each) { return each.second.view->document >= revision; }));
}

std::uint64_t daemon_view_table::highest() const
{
    std::uint64_t highest = 0;
    for (const auto& [daemon, each] : entries_) {
        highest = std::max(highest, each.view->document);
    }
    return highest;
}

} // namespace citronfall
