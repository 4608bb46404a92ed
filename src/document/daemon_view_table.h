#pragma once

#include "citronfall/daemon_view.h"
#include "citronfall/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronfall {

/// What a daemon knows of the document in force on all daemons, passed on from neighbour to neighbour.
///
/// A view that is not renewed within 10 s, and half a second more for each known daemon, is forgotten: its daemon has
/// gone. At most 256 views are kept, and at most 16 go into one digest, so that the bytes per second stay bounded;
/// changed views go first. Not thread-safe.
class daemon_view_table {
public:
    /// `daemon` is the name of the daemon that keeps the table.
    explicit daemon_view_table(const std::string& daemon);

    /// Starts the next beat of this daemon's own view.
    void beat(std::uint64_t document, instant now);

    /// Takes over views that are newer than the known ones.
    void observe(const std::vector<daemon_view>& views, instant now);

    /// Forgets the views of daemons that have gone.
    void expire(instant now);

    /// The views to put into the next digest: this daemon's own and those that changed or were not sent for 3 s.
    [[nodiscard]] std::vector<daemon_view> select(instant now);

    /// Number of known daemons, this one included.
    [[nodiscard]] std::size_t size() const { return rows_.size(); }

    /// Number of known daemons on which `revision` or a later one is in force.
    [[nodiscard]] std::size_t in_force(std::uint64_t revision) const;

    /// Highest revision in force on any known daemon.
    [[nodiscard]] std::uint64_t highest() const;

private:
    struct row {
        daemon_view view;
        instant heard;
        instant sent = instant::min();
        std::uint64_t sent_document = 0;
    };

    std::uint64_t self_;
    std::map<std::uint64_t, row> rows_;
};

} // namespace citronfall
