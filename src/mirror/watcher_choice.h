#pragma once

#include "citronfall/immutable.h"

#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// Fields of a daemon that may watch the store.
struct watcher_candidate_fields {
    std::string name;
    std::string data_center;
    double capacity = 0; ///< Relative to others, see daemon_capacity().

    friend auto operator<=>(const watcher_candidate_fields&, const watcher_candidate_fields&) = default;
};

/// A registered daemon, as a candidate for watching the store.
using watcher_candidate = immutable<watcher_candidate_fields>;

/// The daemons that watch the store and tell the others of its changes: a few in each data centre, more where it has
/// many daemons. They are of the half with more capacity, because the store sends a large configuration whole to each
/// of them. Empty if there are so few daemons that all watch. All daemons choose the same ones, and the loss of one
/// changes little. Thread-safe.
[[nodiscard]] std::set<std::string> choose_watchers(const std::vector<watcher_candidate>& daemons);

/// The watchers to which the daemon `self` stays connected: some others, if it is one itself; else two, of its own data
/// centre if that has as many. Thread-safe.
[[nodiscard]] std::set<std::string> followed_watchers(const std::vector<watcher_candidate>& watchers,
                                                      const watcher_candidate& self);

} // namespace citronfall
