#include "quota/daemon_count.h"

namespace citronfall {
namespace {

/// Time in which a registration reaches all daemons, also those that learn it from peers.
constexpr duration listing_time = std::chrono::seconds(5);

/// How long a daemon that is no longer registered counts: it may still serve callers.
constexpr duration retention = std::chrono::seconds(10);

} // namespace

void daemon_count::listed(std::size_t daemons, instant now)
{
    if (daemons == 0) {
        return;
    }
    if (first_listed_at_ == instant{}) {
        first_listed_at_ = now;
    }
    while (!decreasing_.empty() && decreasing_.back().daemons <= daemons) {
        decreasing_.pop_back();
    }
    decreasing_.push_back({.at = now, .daemons = daemons});
    while (decreasing_.front().at + retention < now) {
        decreasing_.pop_front();
    }
}

std::size_t daemon_count::value(instant now) const
{
    const bool settled = first_listed_at_ != instant{} && now - first_listed_at_ >= listing_time;
    return settled ? decreasing_.front().daemons : 0;
}

} // namespace citronfall
