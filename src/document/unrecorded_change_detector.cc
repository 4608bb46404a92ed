#include "document/unrecorded_change_detector.h"

namespace citronfall {
namespace {

std::string state_text(const std::string& primary, term_number term)
{
    return "primary " + (primary.empty() ? "unknown" : primary) + " in term " + std::to_string(term);
}

} // namespace

std::string unrecorded_change::text() const
{
    return (*this)->object + ": " + (*this)->found + " does not match the record (recorded: " + (*this)->known +
           "); automation yields";
}

bool unrecorded_change_detector::explained(const group_state& state)
{
    // A record of a later term belongs to a change in progress. A record of the same term names the primary.
    return state.recorded_term > state.term ||
           (state.recorded_term == state.term &&
            (state.recorded_primary.empty() || state.recorded_primary == state.primary));
}

void unrecorded_change_detector::observed(const std::string& group, const std::string& primary, term_number term,
                                          instant now)
{
    const bool first = !groups_.contains(group);
    group_state& state = groups_[group];
    if (term < state.term || (term == state.term && primary == state.primary)) {
        return;
    }
    state.primary = primary;
    state.term = term;
    state.released = false;
    if (first) {
        state.recorded_primary = primary;
        state.recorded_term = term;
        return;
    }
    if (!explained(state)) {
        state.unexplained_since = now;
        options_.request_failover_record(group);
    }
    review(group, state, now);
}

void unrecorded_change_detector::recorded(const std::string& group, const std::string& primary, term_number term,
                                          const std::string& leader, instant now)
{
    group_state& state = groups_[group];
    if (term < state.recorded_term) {
        return;
    }
    state.recorded_primary = primary;
    state.recorded_term = term;
    state.leader = leader;
    review(group, state, now);
}

void unrecorded_change_detector::accept(const maintenance_config& config, instant now)
{
    for (auto& [group, state] : groups_) {
        const std::string object = "group:" + group;
        const auto before = config_->resume.find(object);
        const auto after = config->resume.find(object);
        const bool told =
            after != config->resume.end() && (before == config_->resume.end() || after->second > before->second);
        if (told && state.found) {
            state.found.reset();
            state.released = true;
            options_.log(object + ": automation resumes, as the maintenance section requests");
        }
    }
    config_ = config;
    tick(now);
}

void unrecorded_change_detector::review(const std::string& group, group_state& state, instant now)
{
    const std::string object = "group:" + group;
    if (explained(state)) {
        if (state.found) {
            options_.log(object + ": the state matches the record; automation resumes");
        }
        state.unexplained_since.reset();
        state.found.reset();
        state.released = false;
        return;
    }
    if (state.found && now - (*state.found)->detected >= config_->resume_after) {
        state.found.reset();
        state.released = true;
        options_.log(object + ": automation resumes because resume_after_ms has passed");
    }
    if (!state.found && !state.released && state.unexplained_since &&
        now - *state.unexplained_since >= options_.grace) {
        state.found = unrecorded_change{{.object = object,
                                         .found = state_text(state.primary, state.term),
                                         .known = state_text(state.recorded_primary, state.recorded_term) +
                                                  (state.leader.empty() ? "" : ", set by " + state.leader),
                                         .detected = now}};
        options_.log(state.found->text());
    }
}

void unrecorded_change_detector::tick(instant now)
{
    for (auto& [group, state] : groups_) {
        review(group, state, now);
    }
}

std::optional<instant> unrecorded_change_detector::next() const
{
    std::optional<instant> earliest;
    for (const auto& [group, state] : groups_) {
        if (!state.unexplained_since || state.released) {
            continue;
        }
        const instant due =
            state.found ? (*state.found)->detected + config_->resume_after : *state.unexplained_since + options_.grace;
        earliest = earliest ? std::min(*earliest, due) : due;
    }
    return earliest;
}

bool unrecorded_change_detector::automation_paused(const std::string& group) const
{
    const auto found = groups_.find(group);
    return found != groups_.end() && found->second.found.has_value();
}

std::vector<unrecorded_change> unrecorded_change_detector::list() const
{
    std::vector<unrecorded_change> all;
    for (const auto& [group, state] : groups_) {
        if (state.found) {
            all.push_back(*state.found);
        }
    }
    return all;
}

} // namespace citronfall
