#include "document/document_replicator.h"

#include "document/document_proposal.h"

#include <algorithm>
#include <utility>

namespace citronfall {
namespace {

constexpr const char* document_key = "document";

constexpr duration digest_interval = std::chrono::seconds(1);

/// A neighbour that has sent nothing for this long counts as unreachable.
constexpr duration neighbour_timeout = std::chrono::seconds(4);

/// Read intervals of a daemon that has no document, and of one that has a document but no reachable neighbour.
constexpr duration initial_read_interval = std::chrono::seconds(1);
constexpr duration isolated_read_interval = std::chrono::seconds(2);

constexpr duration platform_timeout = std::chrono::seconds(2);

/// The leases only limit the number of watching daemons, so their duration depends only on the acceptable call rate.
constexpr duration lease_duration = std::chrono::seconds(12);
constexpr duration renew_interval = std::chrono::seconds(4);
constexpr unsigned lease_count = 2;

/// Interval at which a daemon without a lease tries to acquire one, for each ten known daemons, so that the call rate
/// of a region does not grow with the number of its daemons.
constexpr duration lease_attempt_interval = std::chrono::seconds(10);

/// Interval between reads of the list of instances, also for each ten known daemons.
constexpr duration instances_interval = std::chrono::seconds(10);

/// Time after which a check without a result, or an update without effect, is repeated.
constexpr duration repeat_after = std::chrono::seconds(2);

} // namespace

result<document_replicator> document_replicator::make(document_replicator_options options)
{
    auto section_chart = chart::make_embedded("section");
    if (!ok(section_chart)) {
        return error_of(section_chart);
    }
    auto states = program::make(take(std::move(section_chart)), bindings());
    if (!ok(states)) {
        return error_of(states);
    }
    return document_replicator{std::move(options), take(std::move(states))};
}

document_replicator::document_replicator(document_replicator_options options, program states)
    : options_(std::move(options)), program_(std::move(states)), views_(options_.daemon)
{
    for (section_replica& each : sections_) {
        each.state = program_.initial();
    }
}

chart_bindings<document_replicator::step_context> document_replicator::bindings()
{
    using step = step_context;
    const auto row = [](step& each) -> section_replica& {
        return each.replicator.sections_[static_cast<std::size_t>(each.part)];
    };
    const auto log_section = [](const step& each, const std::string& what) {
        each.replicator.options_.log("document section " + std::string(name(each.part)) + ": " + what);
    };
    return {.events = {"accepted", "announced", "overrides_changed", "diverged", "resolved"},
            .guards = {{"overridden",
                        [](const step& each) {
                            return each.replicator.overridden(each.part);
                        }},
                       {"known",
                        [](const step& each) {
                            return each.replicator.revision() > 0;
                        }}},
            .actions = {{"record_in_force",
                         [row](step& each) {
                             row(each).since = each.now;
                             row(each).divergence.clear();
                             each.replicator.options_.count("document_sections_accepted_total");
                         }},
                        {"record_override",
                         [log_section](step& each) {
                             each.replicator.options_.count("document_sections_overridden_total");
                             log_section(each, "overridden");
                         }},
                        {"record_divergence",
                         [row, log_section](step& each) {
                             each.replicator.options_.count("document_divergences_total");
                             log_section(each, "diverged: " + row(each).divergence);
                         }},
                        {"record_resolution",
                         [row, log_section](step& each) {
                             row(each).divergence.clear();
                             log_section(each, "no longer diverged");
                         }}},
            .arm_timer = {}};
}

void document_replicator::fire(document_part_id part, section_event event, instant now)
{
    step_context context{.replicator = *this, .part = part, .now = now};
    section_replica& row = sections_[static_cast<std::size_t>(part)];
    row.state = program_.fire(row.state, event, context).state;
}

void document_replicator::fire_all(section_event event, instant now)
{
    for (std::size_t i = 0; i < section_count; ++i) {
        fire(static_cast<document_part_id>(i), event, now);
    }
}

bool document_replicator::active(const document_override& each) const
{
    return each->end == 0 || each->end > options_.wall_ms();
}

bool document_replicator::overridden(document_part_id part) const
{
    const auto& list = in_force_->state->overrides;
    return std::any_of(list.begin(), list.end(),
                       [&](const document_override& each) { return each->section == part && active(each); });
}

void document_replicator::apply(const peer_event& event, instant now)
{
    switch (event->kind) {
    case peer_event_kind::connected:
        neighbours_[event->from] = neighbour{.digest = {}, .last_heard = now, .update_sent_at = {}};
        send_digest(event->from, now);
        return;
    case peer_event_kind::disconnected:
        neighbours_.erase(event->from);
        return;
    case peer_event_kind::received:
        break;
    }
    if (const auto found = neighbours_.find(event->from); found != neighbours_.end()) {
        found->second.last_heard = now;
    }
    if (const auto* digest = std::get_if<peer_digest>(&event->message)) {
        receive(event->from, *digest, now);
    } else if (const auto* update = std::get_if<section_update>(&event->message)) {
        receive(event->from, *update, now);
    }
}

void document_replicator::receive(const std::string& from, const peer_digest& digest, instant now)
{
    views_.merge(digest->views, now);
    neighbour& sender = neighbours_[from];
    sender.last_heard = now;
    sender.digest = digest;
    if (digest->document > announced_revision_) {
        announced_revision_ = digest->document;
        for (const part_digest& each : digest->parts) {
            const bool newer = std::none_of(digests_.begin(), digests_.end(), [&](const part_digest& own) {
                return own->part == each->part && own->revision >= each->revision;
            });
            if (newer && static_cast<std::size_t>(each->part) < section_count) {
                fire(each->part, section_event::announced, now);
            }
        }
    }
    if (digest->document < revision()) {
        // An update for the same base may still be in flight.
        if (sender.sent_revision < revision() || sender.sent_base != digest->document ||
            now - sender.update_sent_at >= repeat_after) {
            send_update(from, sender, now);
        }
    } else if (digest->document > revision() && now - checking_since_ >= repeat_after) {
        // The sender does not know which parts this daemon has, or its update was lost.
        send_digest(from, now);
    }
}

void document_replicator::receive(const std::string&, const section_update& update, instant now)
{
    if (update->document <= revision() ||
        (checking_revision_ >= update->document && now - checking_since_ < repeat_after)) {
        return;
    }
    std::vector<document_part> parts;
    for (const part_digest& wanted : update->digests) {
        const auto is_wanted = [&wanted](const document_part& each) {
            return part_digest::of(each) == wanted;
        };
        auto found = std::find_if(update->parts.begin(), update->parts.end(), is_wanted);
        if (found == update->parts.end()) {
            found = std::find_if(in_force_->parts.begin(), in_force_->parts.end(), is_wanted);
            if (found == in_force_->parts.end()) {
                // The update was made for another base; the next digest requests the missing parts.
                options_.count("document_updates_unusable_total");
                return;
            }
        }
        parts.push_back(*found);
    }
    checking_revision_ = update->document;
    checking_since_ = now;
    options_.check(document_check_request{
        {.source = document_source::peer, .revision = update->document, .parts = std::move(parts)}});
}

bool document_replicator::apply(const platform_event& event, instant now)
{
    const auto found = calls_.find(event->number);
    if (found == calls_.end()) {
        return false;
    }
    const call_kind kind = found->second;
    calls_.erase(found);
    if (kind == call_kind::lease) {
        if (event->lease_held) {
            lease_expiry_ = lease_requested_at_ + lease_duration;
            next_lease_ = std::min(next_lease_, now + renew_interval);
            if (!watching_) {
                watching_ = true;
                options_.log("watching the platform's document, holding watcher lease " + std::to_string(lease_index_));
                update_watch();
            }
        } else if (watching_ && !event->failure) {
            watching_ = false;
            options_.log("lost the watcher lease");
            update_watch();
        }
        return true;
    }
    if (kind == call_kind::instances) {
        if (!event->failure) {
            options_.candidates(peer_candidates{{.addresses = event->instances}});
        }
        return true;
    }
    if (!event->failure && event->entry->revision > 0) {
        options_.check(document_check_request{
            {.source = document_source::platform, .entry = event->entry->revision, .text = event->entry->value}});
    }
    return true;
}

void document_replicator::apply(const document_check_result& event, instant now)
{
    if (event->failed) {
        options_.count("document_watch_failures_total");
        return;
    }
    if (event->source == document_source::platform) {
        if (!accept_entry(event)) {
            return;
        }
    } else {
        checking_revision_ = 0;
    }
    const std::uint64_t offered = event->document->state->revision;
    if (event->source == document_source::current) {
        if (event->problems.empty() && offered == revision()) {
            in_force_ = event->document;
            options_.put_in_force(in_force_->config, now);
            fire_all(section_event::overrides_changed, now);
        }
        return;
    }
    const bool recorded = event->problems.empty() && unrecorded_parts(event->document->state).empty();
    const bool conflicting = offered == revision() && event->document->state->nonce != in_force_->state->nonce;
    const bool reverted = event->source == document_source::platform && offered < revision();
    if (!recorded || conflicting || reverted) {
        mark_diverged(event, now);
    } else if (offered > revision()) {
        put_in_force(event->document, now);
    } else if (event->source == document_source::platform) {
        fire_all(section_event::resolved, now);
        fire_all(section_event::overrides_changed, now);
    }
}

/// Whether to process the platform's entry. False for a stale read: one that a read of a later entry has overtaken, or
/// one that returns a valid document older than the one in force. The latter is processed as a reversion if an earlier
/// read of the entry returned a newer document than this one.
bool document_replicator::accept_entry(const document_check_result& event)
{
    const std::uint64_t offered = event->document->state->revision;
    const bool stale = event->entry < entry_revision_ ||
                       (event->problems.empty() && offered < revision() && entry_document_revision_ <= offered);
    if (stale) {
        options_.count("document_stale_reads_total");
        return false;
    }
    entry_revision_ = event->entry;
    entry_document_revision_ = std::max(entry_document_revision_, offered);
    return true;
}

void document_replicator::put_in_force(const checked_document& document, instant now)
{
    const auto& before = in_force_->state->sections;
    for (const auto& [part, section] : document->state->sections) {
        const auto found = before.find(part);
        if (found != before.end() && section->revision < found->second->revision) {
            options_.count("document_backward_sections_total");
            options_.log("document revision " + std::to_string(document->state->revision) + " refused: section " +
                         std::string(name(part)) + " would be reverted");
            return;
        }
    }
    const document_state old = in_force_->state;
    in_force_ = document;
    announced_revision_ = std::max(announced_revision_, revision());
    digests_.clear();
    for (const document_part& each : document->parts) {
        digests_.push_back(part_digest::of(each));
    }
    views_.heartbeat(revision(), now);
    for (std::size_t i = 0; i < section_count; ++i) {
        const auto part = static_cast<document_part_id>(i);
        const auto was = old->sections.find(part);
        const auto is = document->state->sections.find(part);
        const bool changed =
            is != document->state->sections.end() && (was == old->sections.end() || was->second != is->second);
        const std::string& state = program_.state_name(sections_[i].state);
        if (changed || state == "pending" || state == "diverged") {
            fire(part, section_event::accepted, now);
        } else {
            fire(part, section_event::overrides_changed, now);
        }
    }
    options_.log("document revision " + std::to_string(revision()) + " in force");
    options_.put_in_force(in_force_->config, now);
    for (auto& [to, target] : neighbours_) {
        if (target.digest->document < revision()) {
            send_update(to, target, now);
        }
    }
    send_digest("", now);
    next_digest_ = now + digest_interval;
}

void document_replicator::mark_diverged(document_part_id part, const std::string& why, instant now)
{
    section_replica& row = sections_[static_cast<std::size_t>(part)];
    if (row.divergence.empty()) {
        row.divergence = why;
        fire(part, section_event::diverged, now);
    }
}

void document_replicator::mark_diverged(const document_check_result& event, instant now)
{
    options_.count("document_refused_total");
    const std::string where = event->source == document_source::platform ? "the platform" : "a neighbour";
    const std::vector<document_problem> why =
        event->problems.empty() ? unrecorded_parts(event->document->state) : event->problems;
    const std::string other = where + " holds revision " + std::to_string(event->document->state->revision) +
                              ", which is not a successor of revision " + std::to_string(revision()) + " in force";
    for (std::size_t i = 0; i < section_count; ++i) {
        const auto part = static_cast<document_part_id>(i);
        if (why.empty()) {
            const auto held = event->document->state->sections.find(part);
            const auto own = in_force_->state->sections.find(part);
            const bool differs = held != event->document->state->sections.end() &&
                                 own != in_force_->state->sections.end() && held->second != own->second;
            if (differs) {
                mark_diverged(part, other, now);
            }
            continue;
        }
        const auto found = std::find_if(why.begin(), why.end(), [part](const document_problem& each) {
            return each->section == name(part) || each->section.empty() || each->section == "overrides";
        });
        if (found != why.end()) {
            mark_diverged(part, where + ": " + found->text(), now);
        }
    }
}

void document_replicator::send_digest(const std::string& to, instant now)
{
    options_.peer(outgoing_peer_message{
        {.to = to,
         .message = peer_digest{{.document = revision(), .parts = digests_, .views = views_.select_for_digest(now)}}}});
}

void document_replicator::send_update(const std::string& to, neighbour& target, instant now)
{
    section_update_fields fields{
        .base = target.digest->document, .document = revision(), .digests = digests_, .parts = {}};
    for (std::size_t i = 0; i < digests_.size(); ++i) {
        const auto& held = target.digest->parts;
        if (std::find(held.begin(), held.end(), digests_[i]) == held.end()) {
            fields.parts.push_back(in_force_->parts[i]);
        }
    }
    target.update_sent_at = now;
    target.sent_revision = revision();
    target.sent_base = target.digest->document;
    options_.peer(outgoing_peer_message{{.to = to, .message = section_update{std::move(fields)}}});
}

void document_replicator::update_watch()
{
    options_.watch(document_watch_command{{.active = watching_, .after = entry_revision_}});
}

void document_replicator::call(call_kind kind, platform_call_fields fields, instant now)
{
    fields.number = options_.next_number();
    fields.deadline = now + platform_timeout;
    calls_.emplace(fields.number, kind);
    options_.count("document_platform_calls_total");
    options_.platform(platform_call{std::move(fields)});
}

void document_replicator::read_platform(instant now)
{
    call(call_kind::read, {.operation = platform_operation::read, .key = document_key}, now);
}

void document_replicator::request_lease(instant now)
{
    if (!watching_) {
        lease_index_ = static_cast<unsigned>(options_.random() % lease_count);
    }
    lease_requested_at_ = now;
    next_lease_ = now + renew_interval;
    call(call_kind::lease,
         {.operation = platform_operation::lease,
          .key = "watchers-" + options_.region + "-" + std::to_string(lease_index_),
          .holder = options_.daemon,
          .ttl = lease_duration},
         now);
    if (!watching_) {
        next_lease_ = now + (lease_attempt_interval / 2 + jitter(lease_attempt_interval)) * fleet_scale();
    }
}

void document_replicator::request_instances(instant now)
{
    next_instances_ = now + (instances_interval + jitter(instances_interval)) * fleet_scale();
    call(call_kind::instances, {.operation = platform_operation::instances}, now);
}

/// A tenth of the number of known daemons, at least 1. Intervals are multiplied by it, so that the platform's load does
/// not grow with the fleet.
duration::rep document_replicator::fleet_scale() const
{
    return static_cast<duration::rep>(std::max<std::size_t>(views_.size() / 10, 1));
}

bool document_replicator::isolated(instant now) const
{
    return std::none_of(neighbours_.begin(), neighbours_.end(),
                        [now](const auto& each) { return now - each.second.last_heard < neighbour_timeout; });
}

duration document_replicator::jitter(duration below) const
{
    return duration(static_cast<duration::rep>(options_.random() % static_cast<std::uint64_t>(below.count())));
}

void document_replicator::tick(instant now)
{
    if (watching_ && now >= lease_expiry_) {
        watching_ = false;
        options_.log("the watcher lease has timed out");
        update_watch();
    }
    if (now >= next_digest_) {
        views_.heartbeat(revision(), now);
        views_.expire(now);
        next_digest_ = now + digest_interval;
        send_digest("", now);
    }
    if (now >= next_read_) {
        if (revision() == 0) {
            next_read_ = now + initial_read_interval + jitter(initial_read_interval / 2);
            read_platform(now);
        } else {
            next_read_ = now + isolated_read_interval + jitter(isolated_read_interval);
            if (!watching_ && isolated(now)) {
                read_platform(now);
            }
        }
    }
    if (now >= next_lease_) {
        request_lease(now);
    }
    if (now >= next_instances_) {
        request_instances(now);
    }
    const std::int64_t end = in_force_->next_override_end;
    if (end != 0 && options_.wall_ms() >= end && now - last_recheck_ >= repeat_after) {
        last_recheck_ = now;
        options_.check(document_check_request{
            {.source = document_source::current, .revision = revision(), .parts = in_force_->parts}});
    }
}

std::optional<instant> document_replicator::next() const
{
    return std::min({next_digest_, next_read_, next_lease_, next_instances_});
}

std::vector<section_status> document_replicator::status(instant now) const
{
    std::vector<section_status> all;
    for (std::size_t i = 0; i < section_count; ++i) {
        const auto part = static_cast<document_part_id>(i);
        const section_replica& row = sections_[i];
        section_status_fields fields{
            .section = part, .state = program_.state_name(row.state), .daemons = views_.size(), .differences = {}};
        const auto found = in_force_->state->sections.find(part);
        if (found != in_force_->state->sections.end()) {
            const document_section& section = found->second;
            fields.owner = section->owner;
            fields.revision = section->revision;
            fields.desired = section->revision;
            fields.in_force_on = views_.count_in_force(section->revision);
            fields.in_force_for = now - row.since;
            fields.author = section->author;
            fields.reason = section->reason;
            fields.time = section->time;
        }
        for (const auto& [name, each] : neighbours_) {
            for (const part_digest& digest : each.digest->parts) {
                fields.desired = digest->part == part ? std::max(fields.desired, digest->revision) : fields.desired;
            }
        }
        if (fields.desired > fields.revision) {
            fields.differences.push_back("revision " + std::to_string(fields.desired) +
                                         " is accepted but not yet in force here");
        }
        for (const document_override& each : in_force_->state->overrides) {
            if (each->section == part && active(each)) {
                fields.differences.push_back("override " + each->name + " by " + each->author + " (" + each->reason +
                                             "): " + each->path + " is " + each->value);
            }
        }
        if (!row.divergence.empty()) {
            fields.differences.push_back(row.divergence);
        }
        for (std::string& each : options_.unrecorded_changes(part)) {
            fields.differences.push_back(std::move(each));
        }
        all.push_back(section_status{std::move(fields)});
    }
    return all;
}

} // namespace citronfall
