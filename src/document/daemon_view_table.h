#pragma once

#include "citronfall/daemon_view.h"
#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronfall {

/// Which document revision is in force on each daemon, as far as this daemon has learned from the neighbours' gossip.
///
/// The view of a daemon expires if it is not renewed within 10 s plus half a second for each known daemon. The table
/// keeps at most 256 views, and a digest carries at most 16, changed ones first, to bound the traffic. Not thread-safe.
class daemon_view_table {
public:
    /// `daemon` is the name of the daemon that owns the table.
    explicit daemon_view_table(const std::string& daemon);

    /// Updates this daemon's own view and increments its heartbeat counter.
    void heartbeat(std::uint64_t document, instant now);

    /// Merges received views; the one with the higher heartbeat counter wins.
    void merge(const std::vector<daemon_view>& views, instant now);

    /// Removes the views that were not renewed in time.
    void expire(instant now);

    /// The views for the next digest: this daemon's own, and those that have changed or were not sent for 3 s.
    [[nodiscard]] std::vector<daemon_view> select_for_digest(instant now);

    /// Number of known daemons, this one included.
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

    /// Number of known daemons on which `revision` or a later one is in force.
    [[nodiscard]] std::size_t count_in_force(std::uint64_t revision) const;

    /// Highest revision in force on any known daemon.
    [[nodiscard]] std::uint64_t highest() const;

private:
    struct entry {
        daemon_view view;
        instant last_heard;
        instant sent = instant::min();
        std::uint64_t sent_document = 0;
    };

    std::uint64_t own_hash_;
    std::map<std::uint64_t, entry> entries_;
};

} // namespace citronfall
