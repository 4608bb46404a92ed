#include "citronfall/group_view.h"

#include <algorithm>
#include <vector>

namespace citronfall {
namespace {

/// Newest observation of the primary of `term`, or null.
const status_observation* primary_of(const group_view_fields& fields, term_number term)
{
    for (const auto& [member, observation] : fields.latest) {
        if (observation->status->role == member_role::primary && observation->status->term == term) {
            return &observation;
        }
    }
    return nullptr;
}

} // namespace

group_view group_view::observe(const status_observation& observation) const
{
    const auto present = (*this)->latest.find(observation->status->member);
    if (present != (*this)->latest.end() && observation->sent_at < present->second->sent_at) {
        return *this;
    }
    return with(*this, [&](group_view_fields& fields) {
        fields.latest.insert_or_assign(observation->status->member, observation);
    });
}

term_number group_view::term() const
{
    term_number highest = 0;
    for (const auto& [member, observation] : (*this)->latest) {
        highest = std::max(highest, observation->status->term);
    }
    return highest;
}

std::optional<std::string> group_view::primary() const
{
    const auto* found = primary_of(**this, term());
    return found == nullptr ? std::nullopt : std::optional((*found)->status->member);
}

group_view group_view::advance(const std::string& member, term_number term, const log_position& position) const
{
    const auto present = (*this)->latest.find(member);
    if (present == (*this)->latest.end()) {
        return *this;
    }
    const member_status& known = present->second->status;
    if (known->term != term || position->index <= known->applied_index ||
        known->history.term_at(position->index) != position->term) {
        return *this;
    }
    return with(*this, [&](group_view_fields& fields) {
        fields.latest.at(member) = with(present->second, [&](status_observation_fields& observation) {
            observation.status = with(known, [&](member_status_fields& status) {
                status.last_index = std::max(status.last_index, position->index);
                status.applied_index = position->index;
            });
        });
    });
}

bool group_view::confirmed(const log_position& position) const
{
    const term_number newest = term();
    log_position required = position;
    if (position->term < newest) {
        const auto* primary_observation = primary_of(**this, newest);
        if (primary_observation != nullptr && (*primary_observation)->status.holds(position)) {
            const auto& starts = (*primary_observation)->status->history->starts;
            if (!starts.empty() && starts.back()->term == newest) {
                required = log_position{{.term = newest, .index = starts.back()->start}};
            }
        }
    }
    const auto holders = std::count_if((*this)->latest.begin(), (*this)->latest.end(), [&](const auto& entry) {
        const member_status& status = entry.second->status;
        return status->term == required->term && status.holds(required);
    });
    return static_cast<std::size_t>(holders) >= majority();
}

std::optional<log_position> group_view::read_index(instant since) const
{
    const auto* primary_observation = primary_of(**this, term());
    if (primary_observation == nullptr || (*primary_observation)->sent_at < since) {
        return std::nullopt;
    }
    const auto agreeing = std::count_if((*this)->latest.begin(), (*this)->latest.end(), [&](const auto& entry) {
        return entry.second->sent_at >= since && entry.second->status->term == (*primary_observation)->status->term;
    });
    if (static_cast<std::size_t>(agreeing) < majority()) {
        return std::nullopt;
    }
    return (*primary_observation)->status.last_position();
}

std::optional<status_round> group_view::completed_round() const
{
    const auto* primary_observation = primary_of(**this, term());
    if (primary_observation == nullptr) {
        return std::nullopt;
    }
    std::vector<instant> agreeing;
    for (const auto& [member, observation] : (*this)->latest) {
        if (observation->status->term == (*primary_observation)->status->term) {
            agreeing.push_back(observation->sent_at);
        }
    }
    if (agreeing.size() < majority()) {
        return std::nullopt;
    }
    std::sort(agreeing.rbegin(), agreeing.rend());
    return status_round{{.sent_at = std::min((*primary_observation)->sent_at, agreeing[majority() - 1]),
                         .position = (*primary_observation)->status.last_position()}};
}

bool group_view::term_held_since(term_number term, instant since) const
{
    const auto agreeing = std::count_if((*this)->latest.begin(), (*this)->latest.end(), [&](const auto& entry) {
        return entry.second->sent_at >= since && entry.second->status->term == term;
    });
    return static_cast<std::size_t>(agreeing) >= majority();
}

bool group_view::superseded(const log_position& position) const
{
    const term_number newest = term();
    const auto* primary_observation = primary_of(**this, newest);
    return primary_observation != nullptr && position->term < newest && !(*primary_observation)->status.holds(position);
}

term_history group_view::history() const
{
    const auto* primary_observation = primary_of(**this, term());
    return primary_observation == nullptr ? term_history{} : (*primary_observation)->status->history;
}

} // namespace citronfall
