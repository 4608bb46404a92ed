#include "document/document_proposal.h"

#include "citronfall/part_digest.h"

#include <algorithm>
#include <set>
#include <utility>

namespace citronfall {
namespace {

const document_section& section_or_empty(const document_state& document, document_part_id part)
{
    static const document_section none;
    const auto found = document->sections.find(part);
    return found == document->sections.end() ? none : found->second;
}

document_problem make_problem(document_part_id part, std::string path, std::string found, std::string allowed)
{
    return document_problem{{.section = std::string(name(part)),
                             .path = std::move(path),
                             .found = std::move(found),
                             .allowed = std::move(allowed)}};
}

template <class Change>
std::string describe_change(const Change& change)
{
    return "revision " + std::to_string(change->revision) + " by " + change->author + " (" + change->reason + ")";
}

/// The newest history entry that set `part`, or null.
const document_history_entry* newest_entry(const document_state& document, document_part_id part)
{
    const auto found = std::find_if(document->history.rbegin(), document->history.rend(),
                                    [part](const document_history_entry& each) { return each->parts.contains(part); });
    return found == document->history.rend() ? nullptr : &*found;
}

/// Revision of the last change of the overrides. They have no metadata of their own, so it comes from the history.
std::uint64_t overrides_revision(const document_state& document)
{
    const document_history_entry* entry = newest_entry(document, document_part_id::overrides);
    return entry == nullptr ? 0 : (*entry)->revision;
}

/// Drops the oldest entries beyond max_history, except those that are the newest of any part.
void trim_history(std::vector<document_history_entry>& history)
{
    std::set<document_part_id> seen;
    std::vector<document_history_entry> kept;
    for (auto entry = history.rbegin(); entry != history.rend(); ++entry) {
        bool newest_of_any_part = false;
        for (const auto& [part, hash] : (*entry)->parts) {
            newest_of_any_part = seen.insert(part).second || newest_of_any_part;
        }
        if (newest_of_any_part || kept.size() < max_history) {
            kept.push_back(*entry);
        }
    }
    history.assign(kept.rbegin(), kept.rend());
}

void check_metadata(const document_proposal& proposal, std::vector<document_problem>& problems)
{
    for (const auto& [path, value] : {std::pair{"author", &proposal->author}, std::pair{"reason", &proposal->reason}}) {
        if (value->empty()) {
            problems.push_back(
                document_problem{{.path = path, .found = "nothing", .allowed = "a text that is not empty"}});
        }
    }
    if (proposal->time <= 0) {
        problems.push_back(document_problem{
            {.path = "time", .found = std::to_string(proposal->time), .allowed = "milliseconds since 1970"}});
    }
}

void check_section_change(const document_state& current, const document_proposal& proposal, document_part_id part,
                          std::vector<document_problem>& problems)
{
    const document_section& current_section = section_or_empty(current, part);
    const document_section& base_section = section_or_empty(proposal->base, part);
    if (current_section != base_section) {
        problems.push_back(make_problem(part, "", describe_change(current_section),
                                        "the base of the change, " + describe_change(base_section)));
    }
    if (!current_section->owner.empty() && current_section->owner != proposal->team) {
        problems.push_back(
            make_problem(part, "owner", "a change by " + proposal->team, "changes by " + current_section->owner));
    }
}

void apply_section_changes(const document_state& current, const document_proposal& proposal,
                           document_state_fields& next, std::set<document_part_id>& changed,
                           std::vector<document_problem>& problems)
{
    for (const auto& [part, proposed] : proposal->sections) {
        const document_section& current_section = section_or_empty(current, part);
        if (current->sections.contains(part) && current_section->content == proposed->content &&
            current_section->owner == proposed->owner) {
            continue;
        }
        check_section_change(current, proposal, part, problems);
        next.sections[part] = document_section{{.owner = proposed->owner,
                                                .revision = next.revision,
                                                .author = proposal->author,
                                                .reason = proposal->reason,
                                                .time = proposal->time,
                                                .content = proposed->content}};
        changed.insert(part);
    }
}

void apply_override_changes(const document_state& current, const document_proposal& proposal,
                            document_state_fields& next, std::set<document_part_id>& changed,
                            std::vector<document_problem>& problems)
{
    if (!proposal->overrides || *proposal->overrides == current->overrides) {
        return;
    }
    if (overrides_revision(current) != overrides_revision(proposal->base)) {
        problems.push_back(make_problem(document_part_id::overrides, "",
                                        describe_change(*newest_entry(current, document_part_id::overrides)),
                                        "the base of the change"));
    }
    next.overrides = *proposal->overrides;
    changed.insert(document_part_id::overrides);
}

/// Refuses a proposal on top of unrecorded values, or records these values if the proposal adopts them.
void adopt_unrecorded(const document_state& current, const document_proposal& proposal,
                      std::set<document_part_id>& changed, std::vector<document_problem>& problems)
{
    for (const document_problem& each : unrecorded_parts(current)) {
        if (!proposal->adopt) {
            problems.push_back(each);
            continue;
        }
        for (std::size_t i = 0; i <= section_count; ++i) {
            if (const auto part = static_cast<document_part_id>(i); each->section == name(part)) {
                changed.insert(part);
            }
        }
    }
}

} // namespace

std::uint64_t part_hash(const document_state& document, document_part_id part)
{
    if (part == document_part_id::overrides) {
        std::string text;
        for (const document_override& each : document->overrides) {
            text += each->name + '\n' + each->author + '\n' + each->reason + '\n' + std::to_string(each->time) + '\n' +
                    std::to_string(each->end) + '\n' + std::string(name(each->section)) + '\n' + each->path + '\n' +
                    each->value + '\n';
        }
        return stable_hash(text);
    }
    const document_section& section = section_or_empty(document, part);
    return stable_hash(section->owner + '\n' + std::to_string(section->revision) + '\n' + section->author + '\n' +
                       section->reason + '\n' + std::to_string(section->time) + '\n' + section->content);
}

std::vector<document_problem> unrecorded_parts(const document_state& document)
{
    std::vector<document_problem> problems;
    if (document->history.empty() && document->revision == 0) {
        return problems;
    }
    const document_history_entry last = document->history.empty() ? document_history_entry{} : document->history.back();
    if (last->revision != document->revision || last->nonce != document->nonce) {
        problems.push_back(document_problem{{.section = "",
                                             .path = "revision",
                                             .found = "revision " + std::to_string(document->revision),
                                             .allowed = describe_change(last) + ", the last recorded change"}});
    }
    const auto check = [&](document_part_id part, bool current, const std::string& author) {
        const document_history_entry* entry = newest_entry(document, part);
        if (entry == nullptr ? current : (*entry)->parts.at(part) != part_hash(document, part)) {
            problems.push_back(make_problem(part, "", "a value set by no recorded change" + author,
                                            entry == nullptr ? "no value" : describe_change(*entry)));
        }
    };
    for (std::size_t i = 0; i < section_count; ++i) {
        const auto part = static_cast<document_part_id>(i);
        const document_section& section = section_or_empty(document, part);
        check(part, document->sections.contains(part), "; its metadata names " + describe_change(section));
    }
    check(document_part_id::overrides, !document->overrides.empty(), "");
    return problems;
}

std::variant<document_state, std::vector<document_problem>> apply_proposal(const document_state& current,
                                                                           const document_proposal& proposal)
{
    std::vector<document_problem> problems;
    std::set<document_part_id> changed;
    document_state_fields next = *current;
    next.revision = std::max(current->revision, proposal->min_revision) + 1;
    next.nonce = proposal->nonce;
    check_metadata(proposal, problems);
    apply_section_changes(current, proposal, next, changed, problems);
    apply_override_changes(current, proposal, next, changed, problems);
    adopt_unrecorded(current, proposal, changed, problems);
    if (!problems.empty()) {
        return problems;
    }
    if (changed.empty() && !proposal->adopt) {
        return current;
    }
    document_history_entry_fields entry{.revision = next.revision,
                                        .nonce = proposal->nonce,
                                        .author = proposal->author,
                                        .reason = proposal->reason,
                                        .time = proposal->time,
                                        .parts = {}};
    for (const document_part_id part : changed) {
        entry.parts[part] = part_hash(document_state{next}, part);
    }
    next.history.push_back(document_history_entry{std::move(entry)});
    trim_history(next.history);
    return document_state{std::move(next)};
}

} // namespace citronfall
