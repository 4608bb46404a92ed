#include "group/status_round_history.h"

#include <algorithm>

namespace citronfall {
namespace {

constexpr std::size_t capacity = 1024;

/// Minimum distance between rounds that are kept. Rounds can follow each other within a millisecond while writes wait
/// for confirmation, but accepted staleness is stated in much larger steps.
constexpr duration resolution = std::chrono::milliseconds(5);

} // namespace

void status_round_history::add(const status_round& round)
{
    if (!rounds_.empty() && round->sent_at <= rounds_.back()->sent_at) {
        return;
    }
    const auto count = rounds_.size();
    if (count >= 2 && rounds_[count - 1]->sent_at - rounds_[count - 2]->sent_at < resolution) {
        rounds_.back() = round;
        return;
    }
    rounds_.push_back(round);
    if (rounds_.size() > capacity) {
        rounds_.pop_front();
    }
}

const status_round* status_round_history::oldest_since(instant since) const
{
    const auto found =
        std::lower_bound(rounds_.begin(), rounds_.end(), since,
                         [](const status_round& round, instant wanted) { return round->sent_at < wanted; });
    return found == rounds_.end() ? nullptr : &*found;
}

} // namespace citronfall
