#include "failover/failover_coordinator.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace citronfall {
namespace {

/// How long to wait for peers' replies to a suspicion query.
constexpr duration peer_wait = std::chrono::milliseconds(150);

/// Timeout of a platform call. Far above the usual few milliseconds, because giving up early on a slow platform would
/// restart the failover again and again.
constexpr duration platform_wait = std::chrono::milliseconds(1'500);

/// Interval between two rounds of control calls; longer than the status poller's timeout for a call.
constexpr duration member_wait = std::chrono::milliseconds(300);

/// Rounds of control calls before the failover is abandoned and retried in a higher term.
constexpr unsigned max_tries = 8;

/// Wait after the first attempt that failed; doubles with each further one, up to 32 times its length. It limits the
/// calls to the platform during an outage and still allows a failover within 9 s after it.
constexpr duration first_postponement = std::chrono::milliseconds(50);

/// The wait for another leader starts at the suspicion time and doubles at most this often, to 8 times that time.
constexpr unsigned max_yield_doublings = 3;

/// Daemons that did not run the failover wait between one and two times this long before they tell a member to follow
/// the primary.
constexpr duration redirect_wait = std::chrono::milliseconds(400);

struct timer_length {
    std::string_view name;
    duration length;
};

constexpr timer_length timer_lengths[] = {
    {"peer_wait", peer_wait}, {"platform_wait", platform_wait}, {"member_wait", member_wait}};

} // namespace

result<failover_coordinator> failover_coordinator::make(failover_coordinator_options options)
{
    auto subject = chart::make_embedded("failover");
    if (!ok(subject)) {
        return error_of(subject);
    }
    auto states = program::make(take(std::move(subject)), bindings());
    if (!ok(states)) {
        return error_of(states);
    }
    return failover_coordinator{std::move(options), take(std::move(states))};
}

failover_coordinator::failover_coordinator(failover_coordinator_options options, program states)
    : options_(std::move(options)), program_(std::move(states))
{
}

chart_bindings<failover_coordinator::step_context> failover_coordinator::bindings()
{
    using step = step_context;
    const auto on_group = [](void (failover_coordinator::*method)(group_state&)) {
        return [method](step& each) {
            (each.coordinator.*method)(each.subject);
        };
    };
    const auto timed = [](void (failover_coordinator::*method)(group_state&, instant)) {
        return [method](step& each) {
            (each.coordinator.*method)(each.subject, each.now);
        };
    };
    const auto noting = [](const char* counter, const char* what) {
        return [counter, what](step& each) {
            each.coordinator.note(each.subject, counter, what);
        };
    };
    const auto begin_round = [](step& each) {
        each.subject.tries = 0;
    };
    return {.events = {"suspected", "primary_answered", "attempt_due", "peer_agreed", "asked_long_enough",
                       "record_read", "written", "conflict", "platform_failed", "platform_lost", "member_fenced",
                       "promoted", "overtaken", "retry_due"},
            .guards = {{"automatic",
                        [](const step& each) {
                            return each.coordinator.policy_->routing->automatic_failover &&
                                   !each.coordinator.options_.automation_paused(each.subject.group);
                        }},
                       {"peer_answered",
                        [](const step& each) {
                            return each.subject.peer_answered;
                        }},
                       {"record_unreadable",
                        [](const step& each) {
                            return !each.subject.seen;
                        }},
                       {"another_leads",
                        [](const step& each) {
                            return each.coordinator.another_leads(each.subject);
                        }},
                       {"own_claim",
                        [](const step& each) {
                            return each.subject.seen && (*each.subject.seen)->nonce == each.subject.own->nonce;
                        }},
                       {"own_record",
                        [](const step& each) {
                            return each.subject.seen == each.subject.own;
                        }},
                       {"majority_fenced",
                        [](const step& each) {
                            return each.subject.fenced.size() >= each.subject.members.size() / 2 + 1;
                        }},
                       {"retries_left",
                        [](const step& each) {
                            return each.subject.tries < max_tries;
                        }}},
            .actions = {{"note_suspicion", noting("failover_suspicions_total", "primary suspected")},
                        {"note_recovery", noting("failover_recoveries_total", "primary answers again")},
                        {"note_unreadable",
                         noting("failover_unreadable_records_total", "failover record cannot be decoded")},
                        {"note_overtaken", noting("failover_overtaken_total", "failover superseded by a higher term")},
                        {"note_promotion",
                         [](step& each) {
                             each.subject.led_term = each.subject.own->term;
                             each.coordinator.note(each.subject, "failover_promotions_total",
                                                   "promoted " + each.subject.own->primary + " in term " +
                                                       std::to_string(each.subject.own->term));
                             each.coordinator.options_.poll(each.subject.group, each.now);
                         }},
                        {"ask_peers", on_group(&failover_coordinator::ask_peers)},
                        {"read_record", timed(&failover_coordinator::read_record)},
                        {"claim_term", timed(&failover_coordinator::claim_term)},
                        {"begin_fencing", begin_round},
                        {"fence_members", timed(&failover_coordinator::fence_members)},
                        {"choose_primary", on_group(&failover_coordinator::choose_primary)},
                        {"record_primary", timed(&failover_coordinator::write_record)},
                        {"begin_promotion", begin_round},
                        {"promote", timed(&failover_coordinator::promote)},
                        {"postpone", timed(&failover_coordinator::postpone)},
                        {"yield", timed(&failover_coordinator::yield)}},
            .arm_timer = [](step& each, const chart_timer& timer) {
                each.coordinator.arm(each.subject, timer, each.now);
            }};
}

void failover_coordinator::accept(const operator_config& document, instant now)
{
    policy_ = document;
    std::erase_if(groups_, [&](const auto& entry) { return document.group(entry.first) == nullptr; });
    for (const auto& [name, declared] : policy_->groups) {
        const auto [entry, added] = groups_.try_emplace(name);
        group_state& subject = entry->second;
        if (added) {
            subject.group = name;
            subject.state = program_.initial();
            subject.known_since = now;
        }
        subject.members.clear();
        for (const member_config& member : declared->members) {
            subject.members.push_back(member->name);
        }
    }
}

void failover_coordinator::observed(const member_key& member, instant now)
{
    const auto found = groups_.find(member->group);
    if (found == groups_.end()) {
        return;
    }
    group_state& subject = found->second;
    look(subject, now);
    if (subject.known_term > subject.own->term) {
        fire(subject, failover_event::overtaken, now);
    }
    redirect(subject, member, now);
}

void failover_coordinator::look(group_state& subject, instant now)
{
    const group_view& view = options_.view(subject.group);
    const std::string primary = view.primary().value_or("");
    if (view.term() == subject.known_term && primary == subject.known_primary) {
        return;
    }
    if (!primary.empty()) {
        // The first primary that a daemon learns of after its start is not a change.
        if (subject.primary_term != 0 && view.term() > subject.primary_term) {
            subject.backoff = subject.backoff.changed(now);
        }
        subject.primary_term = view.term();
    }
    if (view.term() > subject.known_term && subject.known_term != 0) {
        options_.poll(subject.group, now);
    }
    subject.known_term = view.term();
    subject.known_primary = primary;
    subject.known_since = now;
}

/// Makes a member follow the primary if it is in an older term or its log does not contain the start of the current
/// term.
void failover_coordinator::redirect(group_state& subject, const member_key& member, instant now)
{
    const group_view& view = options_.view(subject.group);
    const auto latest = view->latest.find(member->member);
    if (!policy_->routing->automatic_failover || options_.automation_paused(subject.group) ||
        subject.known_primary.empty() || latest == view->latest.end() || member->member == subject.known_primary) {
        return;
    }
    const member_status& status = latest->second->status;
    const term_number term = subject.known_term;
    const bool follows =
        status->term == term && !status->history->starts.empty() && status->history->starts.back()->term == term;
    if (follows || status->term > term) {
        subject.redirect_at.erase(member->member);
        return;
    }
    const bool leads = subject.led_term == term;
    const auto [due, first] =
        subject.redirect_at.try_emplace(member->member, leads ? now : now + redirect_wait + jitter(redirect_wait));
    if (now < due->second) {
        return;
    }
    const bool fenced = status->term == term;
    // The answer to the fence call reports the member's new term; the follow call is sent then.
    due->second = fenced ? now + redirect_wait + jitter(redirect_wait) : now;
    member_call_fields call{.operation = fenced ? member_operation::follow : member_operation::fence, .term = term};
    if (fenced) {
        call.primary_address = options_.address(member_key{{.group = subject.group, .member = subject.known_primary}});
        options_.count("failover_redirects_total");
    }
    options_.control(member, member_call{std::move(call)}, now);
}

void failover_coordinator::apply(const control_call_result& ended, instant now)
{
    const auto found = groups_.find(ended.member->group);
    if (found == groups_.end() || !ended.answer || ended.call->term != found->second.own->term) {
        return; // A lost call is repeated in the next round.
    }
    group_state& subject = found->second;
    const member_answer& answer = *ended.answer;
    if (answer->verdict == member_verdict::wrong_term && answer->term > subject.own->term) {
        fire(subject, failover_event::overtaken, now);
        return;
    }
    if (answer->verdict != member_verdict::done) {
        return;
    }
    if (ended.call->operation == member_operation::fence && answer->status) {
        subject.fenced.insert_or_assign(ended.member->member, *answer->status);
        fire(subject, failover_event::member_fenced, now);
    } else if (ended.call->operation == member_operation::promote && ended.member->member == subject.own->primary) {
        fire(subject, failover_event::promoted, now);
    }
}

bool failover_coordinator::apply(const platform_event& event, instant now)
{
    const auto call = calls_.find(event->number);
    if (call == calls_.end()) {
        return false;
    }
    const auto found = groups_.find(call->second);
    calls_.erase(call);
    if (found == groups_.end() || found->second.call != event->number) {
        return true; // The failover has continued without this answer.
    }
    group_state& subject = found->second;
    subject.call = 0;
    if (event->failure) {
        const bool conflict = *event->failure == error_kind::conflict;
        const bool no_effect = *event->failure == error_kind::connect_failed;
        fire(subject,
             conflict    ? failover_event::conflict
             : no_effect ? failover_event::platform_failed
                         : failover_event::platform_lost,
             now);
        return true;
    }
    subject.revision = event->entry->revision;
    if (event->entry->revision == 0) {
        subject.seen = failover_record{};
    } else {
        const auto read = options_.decode(event->entry->value);
        subject.seen = ok(read) ? std::optional(value_of(read)) : std::nullopt;
    }
    fire(subject, subject.writing ? failover_event::written : failover_event::record_read, now);
    return true;
}

void failover_coordinator::apply(const peer_event& event, instant now)
{
    if (event->kind != peer_event_kind::received) {
        return;
    }
    if (const auto* query = std::get_if<suspicion_query>(&event->message)) {
        const auto found = groups_.find((*query)->group);
        if (found == groups_.end()) {
            return;
        }
        const group_state& subject = found->second;
        const auto silent = silent_at(subject);
        const bool suspects = silent && *silent <= now && subject.known_term == (*query)->term;
        options_.peer(outgoing_peer_message{
            {.to = event->from,
             .message =
                 suspicion_reply{{.number = (*query)->number, .suspects = suspects, .term = subject.known_term}}}});
        if ((*query)->term > subject.known_term) {
            options_.poll(subject.group, now);
        }
    }
    if (const auto* reply = std::get_if<suspicion_reply>(&event->message)) {
        for (auto& [name, subject] : groups_) {
            if (subject.query != (*reply)->number) {
                continue;
            }
            subject.peer_answered = true;
            if ((*reply)->suspects) {
                fire(subject, failover_event::peer_agreed, now);
            } else if ((*reply)->term > subject.known_term) {
                options_.poll(name, now);
            }
        }
    }
}

void failover_coordinator::tick(instant now)
{
    while (const auto due = timers_.pop_due(now)) {
        const auto found = groups_.find(due->group);
        if (found != groups_.end() && found->second.timer == due->number) {
            fire(found->second, due->event, now);
        }
    }
    for (auto& [name, subject] : groups_) {
        const auto silent = silent_at(subject);
        if (!silent || *silent > now) {
            if (!subject.known_primary.empty()) {
                subject.attempts = 0;
                fire(subject, failover_event::primary_answered, now);
            }
            continue;
        }
        fire(subject, failover_event::suspected, now);
        if (next_attempt(subject) <= now) {
            fire(subject, failover_event::attempt_due, now);
        }
    }
}

std::optional<instant> failover_coordinator::next() const
{
    std::optional<instant> earliest = timers_.next();
    for (const auto& [name, subject] : groups_) {
        const auto silent = silent_at(subject);
        if (!silent) {
            continue;
        }
        const bool may_suspect = program_.handles(subject.state, failover_event::suspected);
        if (!may_suspect && !program_.handles(subject.state, failover_event::attempt_due)) {
            continue;
        }
        const instant due = may_suspect ? *silent : std::max(*silent, next_attempt(subject));
        earliest = earliest ? std::min(*earliest, due) : due;
    }
    return earliest;
}

const std::string& failover_coordinator::state_name(const std::string& group) const
{
    return program_.state_name(groups_.at(group).state);
}

void failover_coordinator::fire(group_state& subject, failover_event event, instant now)
{
    step_context step{.coordinator = *this, .subject = subject, .now = now};
    const std::uint64_t timer = subject.timer;
    const state_id before = subject.state;
    subject.state = program_.fire(before, event, step).state;
    if (subject.state != before && subject.timer == timer) {
        ++subject.timer; // Cancels the timer of the previous state.
    }
}

void failover_coordinator::arm(group_state& subject, const chart_timer& timer, instant now)
{
    const auto* row = std::find_if(std::begin(timer_lengths), std::end(timer_lengths),
                                   [&](const timer_length& each) { return each.name == timer->timer; });
    assert(row != std::end(timer_lengths));
    timers_.arm(now + row->length,
                armed_timer{.group = subject.group, .number = ++subject.timer, .event = program_.event(timer->event)});
}

/// When the primary becomes suspect if it does not answer until then; absent if it answered the last call.
std::optional<instant> failover_coordinator::silent_at(const group_state& subject) const
{
    if (subject.known_term == 0) {
        return std::nullopt;
    }
    const duration wait = policy_->routing->suspect_after;
    if (subject.known_primary.empty()) {
        return subject.known_since + wait;
    }
    const member_key primary{{.group = subject.group, .member = subject.known_primary}};
    if (!options_.last_call_failed(primary)) {
        return std::nullopt;
    }
    return options_.last_answer(primary).value_or(subject.known_since) + wait;
}

instant failover_coordinator::next_attempt(const group_state& subject) const
{
    return std::max(subject.attempt_at, subject.backoff.earliest());
}

/// Whether the record belongs to a failover of another daemon that this daemon has not yet waited for.
bool failover_coordinator::another_leads(const group_state& subject) const
{
    const failover_record& record = *subject.seen;
    return record->term > subject.known_term && record->nonce != subject.waited_for;
}

duration failover_coordinator::jitter(duration below) const
{
    return duration{static_cast<std::int64_t>(options_.random() % static_cast<std::uint64_t>(below.count()))};
}

void failover_coordinator::ask_peers(group_state& subject)
{
    subject.query = options_.next_number();
    subject.peer_answered = false;
    options_.peer(outgoing_peer_message{{.message = suspicion_query{{.number = subject.query,
                                                                     .group = subject.group,
                                                                     .member = subject.known_primary,
                                                                     .term = subject.known_term}}}});
}

void failover_coordinator::read_record(group_state& subject, instant now)
{
    subject.writing = false;
    subject.call = options_.next_number();
    calls_.emplace(subject.call, subject.group);
    options_.platform(platform_call{{.number = subject.call,
                                     .operation = platform_operation::read,
                                     .key = "groups/" + subject.group,
                                     .deadline = now + platform_wait}});
}

void failover_coordinator::write_record(group_state& subject, instant now)
{
    subject.writing = true;
    subject.call = options_.next_number();
    calls_.emplace(subject.call, subject.group);
    options_.platform(platform_call{{.number = subject.call,
                                     .operation = platform_operation::compare_and_swap,
                                     .key = "groups/" + subject.group,
                                     .expected = subject.revision,
                                     .value = options_.encode(subject.own),
                                     .deadline = now + platform_wait}});
}

void failover_coordinator::claim_term(group_state& subject, instant now)
{
    subject.own = failover_record{{.group = subject.group,
                                   .term = std::max((*subject.seen)->term, subject.known_term) + 1,
                                   .leader = options_.daemon,
                                   .nonce = options_.random(),
                                   .primary = {}}};
    // A later attempt must not wait for this daemon's own record.
    subject.waited_for = subject.own->nonce;
    subject.fenced.clear();
    write_record(subject, now);
}

void failover_coordinator::fence_members(group_state& subject, instant now)
{
    if (subject.tries++ == 0) {
        note(subject, "failover_changes_total", "starting failover in term " + std::to_string(subject.own->term));
    }
    for (const std::string& member : subject.members) {
        if (!subject.fenced.contains(member)) {
            options_.control(member_key{{.group = subject.group, .member = member}},
                             member_call{{.operation = member_operation::fence, .term = subject.own->term}}, now);
        }
    }
}

void failover_coordinator::choose_primary(group_state& subject)
{
    const auto furthest =
        std::max_element(subject.fenced.begin(), subject.fenced.end(), [](const auto& left, const auto& right) {
            return left.second.last_position() < right.second.last_position();
        });
    subject.own = with(subject.own, [&](failover_record_fields& fields) { fields.primary = furthest->first; });
}

void failover_coordinator::promote(group_state& subject, instant now)
{
    ++subject.tries;
    options_.control(member_key{{.group = subject.group, .member = subject.own->primary}},
                     member_call{{.operation = member_operation::promote, .term = subject.own->term}}, now);
}

/// Schedules the next attempt, with an exponential back-off.
void failover_coordinator::postpone(group_state& subject, instant now)
{
    const duration wait = first_postponement * (std::int64_t{1} << std::min(subject.attempts++, 5U));
    subject.attempt_at = now + wait + jitter(wait);
}

/// Schedules the next attempt, in a higher term, so that the leader of the record has time to finish first.
void failover_coordinator::yield(group_state& subject, instant now)
{
    if (subject.seen) {
        subject.waited_for = (*subject.seen)->nonce;
    }
    const duration wait =
        policy_->routing->suspect_after * (std::int64_t{1} << std::min(subject.attempts++, max_yield_doublings));
    subject.attempt_at = now + wait + jitter(wait);
    options_.poll(subject.group, now);
}

void failover_coordinator::note(const group_state& subject, std::string_view counter, const std::string& what) const
{
    options_.count(counter);
    options_.log("group " + subject.group + ": " + what);
}

} // namespace citronfall
