#include "citronfall/term_history.h"

#include <algorithm>

namespace citronfall {
namespace {

/// The first start of a later term at or before the position's index, or end().
auto first_superseding_start(const std::vector<term_start>& starts, const log_position& position)
{
    return std::find_if(starts.begin(), starts.end(), [&](const term_start& start) {
        return start->term > position->term && start->start <= position->index;
    });
}

} // namespace

term_number term_history::term_at(log_index index) const
{
    const auto& starts = (*this)->starts;
    const auto after = std::upper_bound(starts.begin(), starts.end(), index,
                                        [](log_index value, const term_start& start) { return value < start->start; });
    return after == starts.begin() ? 0 : (*std::prev(after))->term;
}

bool term_history::contains(const log_position& position, log_index last) const
{
    if (position->index == 0) {
        return true;
    }
    return position->index <= last && term_at(position->index) == position->term;
}

bool term_history::superseded(const log_position& position) const
{
    return first_superseding_start((*this)->starts, position) != (*this)->starts.end();
}

log_position term_history::clamp(const log_position& position) const
{
    const auto start = first_superseding_start((*this)->starts, position);
    if (start == (*this)->starts.end()) {
        return position;
    }
    const log_index last = (*start)->start == 0 ? 0 : (*start)->start - 1;
    return log_position{{.term = term_at(last), .index = last}};
}

} // namespace citronfall
