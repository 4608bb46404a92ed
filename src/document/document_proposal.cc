#include "document/document_proposal.h"

#include "citronfall/part_digest.h"

#include <algorithm>
#include <set>
#include <utility>

namespace citronfall {
namespace {

const document_section& section_of(const document_state& document, document_part_id part)
{
    static const document_section none;
    const auto found = document->sections.find(part);
    return found == document->sections.end() ? none : found->second;
}

document_problem problem(document_part_id part, std::string path, std::string found, std::string allowed)
{
    return document_problem{{.section = std::string(name(part)),
                             .path = std::move(path),
                             .found = std::move(found),
                             .allowed = std::move(allowed)}};
}

template <class Change>
std::string described(const Change& change)
{
    return "revision " + std::to_string(change->revision) + " by " + change->author + " (" + change->reason + ")";
}

/// The newest history entry that set `part`, or null.
const document_history_entry* newest(const document_state& document, document_part_id part)
{
    const auto found = std::find_if(document->history.rbegin(), document->history.rend(),
                                    [part](const document_history_entry& each) { return each->parts.contains(part); });
    return found == document->history.rend() ? nullptr : &*found;
}

/// Revision of the last change of the overrides. They have no metadata of their own, so it comes from the history.
std::uint64_t overrides_revision(const document_state& document)
{
    const document_history_entry* entry = newest(document, document_part_id::overrides);
    return entry == nullptr ? 0 : (*entry)->revision;
}

/// Drops the oldest entries beyond max_history, except those that are the newest of any part.
void trim(std::vector<document_history_entry>& history)
{
    std::set<document_part_id> seen;
    std::vector<document_history_entry> kept;
    for (auto entry = history.rbegin(); entry != history.rend(); ++entry) {
        bool newest_of_a_part = false;
        for (const auto& [part, hash] : (*entry)->parts) {
            newest_of_a_part = seen.insert(part).second || newest_of_a_part;
        }
        if (newest_of_a_part || kept.size() < max_history) {
            kept.push_back(*entry);
        }
    }
    history.assign(kept.rbegin(), kept.rend());
}

void check_envelope(const document_proposal& proposal, std::vector<document_problem>& problems)
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

void check_section(const document_state& current, const document_proposal& proposal, document_part_id part,
                   std::vector<document_problem>& problems)
{
    const document_section& now = section_of(current, part);
    const document_section& then = section_of(proposal->base, part);
    if (now != then) {
        problems.push_back(problem(part, "", described(now), "the base of the change, " + described(then)));
    }
    if (!now->owner.empty() && now->owner != proposal->team) {
        problems.push_back(problem(part, "owner", "a change by " + proposal->team, "changes by " + now->owner));
    }
}

void change_sections(const document_state& current, const document_proposal& proposal, document_state_fields& next,
                     std::set<document_part_id>& changed, std::vector<document_problem>& problems)
{
    for (const auto& [part, wanted] : proposal->sections) {
        const document_section& now = section_of(current, part);
        if (current->sections.contains(part) && now->content == wanted->content && now->owner == wanted->owner) {
            continue;
        }
        check_section(current, proposal, part, problems);
        next.sections[part] = document_section{{.owner = wanted->owner,
                                                .revision = next.revision,
                                                .author = proposal->author,
                                                .reason = proposal->reason,
                                                .time = proposal->time,
                                                .content = wanted->content}};
        changed.insert(part);
    }
}

void change_overrides(const document_state& current, const document_proposal& proposal, document_state_fields& next,
                      std::set<document_part_id>& changed, std::vector<document_problem>& problems)
{
    if (!proposal->overrides || *proposal->overrides == current->overrides) {
        return;
    }
    if (overrides_revision(current) != overrides_revision(proposal->base)) {
        problems.push_back(problem(document_part_id::overrides, "",
                                   described(*newest(current, document_part_id::overrides)), "the base of the change"));
    }
    next.overrides = *proposal->overrides;
    changed.insert(document_part_id::overrides);
}

/// Refuses a proposal on top of unrecorded values, or records these values if the proposal adopts them.
void adopt_unexplained(const document_state& current, const document_proposal& proposal,
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
    const document_section& section = section_of(document, part);
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
                                             .allowed = described(last) + ", the last recorded change"}});
    }
    const auto check = [&](document_part_id part, bool current, const std::string& author) {
        const document_history_entry* entry = newest(document, part);
        if (entry == nullptr ? current : (*entry)->parts.at(part) != part_hash(document, part)) {
            problems.push_back(problem(part, "", "a value that no recorded change set" + author,
                                       entry == nullptr ? "no value" : described(*entry)));
        }
    };
    for (std::size_t i = 0; i < section_count; ++i) {
        const auto part = static_cast<document_part_id>(i);
        const document_section& section = section_of(document, part);
        check(part, document->sections.contains(part), "; its metadata names " + described(section));
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
    check_envelope(proposal, problems);
    change_sections(current, proposal, next, changed, problems);
    change_overrides(current, proposal, next, changed, problems);
    adopt_unexplained(current, proposal, changed, problems);
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
    trim(next.history);
    return document_state{std::move(next)};
}

} // namespace citronfall
