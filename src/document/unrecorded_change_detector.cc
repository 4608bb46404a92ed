#include "document/unrecorded_change_detector.h"

namespace citronfall {
namespace {

std::string describe_state(const std::string& primary, term_number term)
{
    return "primary " + (primary.empty() ? "unknown" : primary) + " in term " + std::to_string(term);
}

} // namespace

std::string unrecorded_change::text() const
{
    return (*this)->object + ": " + (*this)->observed_state +
           " does not match the record (recorded: " + (*this)->recorded_state + "); automation yields";
}

bool unrecorded_change_detector::matches_record(const group_state& state)
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
    state.resumed = false;
    if (first) {
        state.recorded_primary = primary;
        state.recorded_term = term;
        return;
    }
    if (!matches_record(state)) {
        state.unrecorded_since = now;
        options_.request_failover_record(group);
    }
    update_pause(group, state, now);
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
    update_pause(group, state, now);
}

void unrecorded_change_detector::accept(const maintenance_config& config, instant now)
{
    for (auto& [group, state] : groups_) {
        const std::string object = "group:" + group;
        const auto before = config_->resume.find(object);
        const auto after = config->resume.find(object);
        const bool resume_requested =
            after != config->resume.end() && (before == config_->resume.end() || after->second > before->second);
        if (resume_requested && state.change) {
            state.change.reset();
            state.resumed = true;
            options_.log(object + ": automation resumes, as the maintenance section requests");
        }
    }
    config_ = config;
    tick(now);
}

void unrecorded_change_detector::update_pause(const std::string& group, group_state& state, instant now)
{
    const std::string object = "group:" + group;
    if (matches_record(state)) {
        if (state.change) {
            options_.log(object + ": the state matches the record; automation resumes");
        }
        state.unrecorded_since.reset();
        state.change.reset();
        state.resumed = false;
        return;
    }
    if (state.change && now - (*state.change)->detected >= config_->resume_after) {
        state.change.reset();
        state.resumed = true;
        options_.log(object + ": automation resumes because resume_after_ms has passed");
    }
    if (!state.change && !state.resumed && state.unrecorded_since && now - *state.unrecorded_since >= options_.grace) {
        state.change =
            unrecorded_change{{.object = object,
                               .observed_state = describe_state(state.primary, state.term),
                               .recorded_state = describe_state(state.recorded_primary, state.recorded_term) +
                                                 (state.leader.empty() ? "" : ", set by " + state.leader),
                               .detected = now}};
        options_.log(state.change->text());
    }
}

void unrecorded_change_detector::tick(instant now)
{
    for (auto& [group, state] : groups_) {
        update_pause(group, state, now);
    }
}

std::optional<instant> unrecorded_change_detector::next() const
{
    std::optional<instant> earliest;
    for (const auto& [group, state] : groups_) {
        if (!state.unrecorded_since || state.resumed) {
            continue;
        }
        const instant due =
            state.change ? (*state.change)->detected + config_->resume_after : *state.unrecorded_since + options_.grace;
        earliest = earliest ? std::min(*earliest, due) : due;
    }
    return earliest;
}

bool unrecorded_change_detector::automation_paused(const std::string& group) const
{
    const auto found = groups_.find(group);
    return found != groups_.end() && found->second.change.has_value();
}

std::vector<unrecorded_change> unrecorded_change_detector::list() const
{
    std::vector<unrecorded_change> all;
    for (const auto& [group, state] : groups_) {
        if (state.change) {
            all.push_back(*state.change);
        }
    }
    return all;
}

} // namespace citronfall
