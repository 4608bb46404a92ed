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
constexpr unsigned max_rounds = 8;

/// Wait after the first attempt that failed; doubles with each further one, up to 32 times its length. It limits the
/// calls to the platform during an outage and still allows a failover within 9 s after it.
constexpr duration initial_retry_delay = std::chrono::milliseconds(50);

/// The wait for another daemon's failover starts at `suspect_after` and doubles at most this often, to 8 times that.
constexpr unsigned max_yield_doublings = 3;

/// Daemons that did not run the failover wait between one and two times this long before they tell a member to follow
/// the primary.
constexpr duration redirect_delay = std::chrono::milliseconds(400);

struct timer_duration {
    std::string_view name;
    duration length;
};

constexpr timer_duration timer_durations[] = {
    {"peer_wait", peer_wait}, {"platform_wait", platform_wait}, {"member_wait", member_wait}};

} // namespace

result<failover_coordinator> failover_coordinator::make(failover_coordinator_options options)
{
    auto definition = chart::make_embedded("failover");
    if (!ok(definition)) {
        return error_of(definition);
    }
    auto states = program::make(take(std::move(definition)), bindings());
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
    using context = step_context;
    const auto on_group = [](void (failover_coordinator::*method)(group_state&)) {
        return [method](context& step) {
            (step.coordinator.*method)(step.subject);
        };
    };
    const auto on_group_at = [](void (failover_coordinator::*method)(group_state&, instant)) {
        return [method](context& step) {
            (step.coordinator.*method)(step.subject, step.now);
        };
    };
    const auto counting_and_logging = [](const char* counter, const char* what) {
        return [counter, what](context& step) {
            step.coordinator.count_and_log(step.subject, counter, what);
        };
    };
    const auto begin_round = [](context& step) {
        step.subject.rounds = 0;
    };
    return {.events = {"suspected", "primary_answered", "attempt_due", "peer_agreed", "asked_long_enough",
                       "record_read", "written", "conflict", "platform_failed", "platform_lost", "member_fenced",
                       "promoted", "overtaken", "retry_due"},
            .guards = {{"automatic",
                        [](const context& step) {
                            return step.coordinator.config_->routing->automatic_failover &&
                                   !step.coordinator.options_.automation_paused(step.subject.group);
                        }},
                       {"peer_answered",
                        [](const context& step) {
                            return step.subject.peer_answered;
                        }},
                       {"record_unreadable",
                        [](const context& step) {
                            return !step.subject.last_record;
                        }},
                       {"another_leads",
                        [](const context& step) {
                            return step.coordinator.another_leads(step.subject);
                        }},
                       {"own_claim",
                        [](const context& step) {
                            return step.subject.last_record &&
                                   (*step.subject.last_record)->nonce == step.subject.own_record->nonce;
                        }},
                       {"own_record",
                        [](const context& step) {
                            return step.subject.last_record == step.subject.own_record;
                        }},
                       {"majority_fenced",
                        [](const context& step) {
                            return step.subject.fenced.size() >= step.subject.members.size() / 2 + 1;
                        }},
                       {"retries_left",
                        [](const context& step) {
                            return step.subject.rounds < max_rounds;
                        }}},
            .actions = {{"note_suspicion", counting_and_logging("failover_suspicions_total", "primary suspected")},
                        {"note_recovery", counting_and_logging("failover_recoveries_total", "primary answers again")},
                        {"note_unreadable", counting_and_logging("failover_unreadable_records_total",
                                                                 "failover record cannot be decoded")},
                        {"note_overtaken",
                         counting_and_logging("failover_overtaken_total", "failover superseded by a higher term")},
                        {"note_promotion",
                         [](context& step) {
                             step.subject.promoted_term = step.subject.own_record->term;
                             step.coordinator.count_and_log(step.subject, "failover_promotions_total",
                                                            "promoted " + step.subject.own_record->primary +
                                                                " in term " +
                                                                std::to_string(step.subject.own_record->term));
                             step.coordinator.options_.poll(step.subject.group, step.now);
                         }},
                        {"ask_peers", on_group(&failover_coordinator::ask_peers)},
                        {"read_record", on_group_at(&failover_coordinator::read_record)},
                        {"claim_term", on_group_at(&failover_coordinator::claim_term)},
                        {"begin_fencing", begin_round},
                        {"fence_members", on_group_at(&failover_coordinator::fence_members)},
                        {"choose_primary", on_group(&failover_coordinator::choose_primary)},
                        {"record_primary", on_group_at(&failover_coordinator::write_record)},
                        {"begin_promotion", begin_round},
                        {"promote", on_group_at(&failover_coordinator::promote)},
                        {"postpone", on_group_at(&failover_coordinator::postpone)},
                        {"yield", on_group_at(&failover_coordinator::yield_to_leader)}},
            .arm_timer = [](context& step, const chart_timer& timer) {
                step.coordinator.arm(step.subject, timer, step.now);
            }};
}

void failover_coordinator::configure(const operator_config& config, instant now)
{
    config_ = config;
    std::erase_if(groups_, [&](const auto& entry) { return config.group(entry.first) == nullptr; });
    for (const auto& [name, declared] : config_->groups) {
        const auto [entry, added] = groups_.try_emplace(name);
        group_state& subject = entry->second;
        if (added) {
            subject.group = name;
            subject.state = program_.initial();
            subject.last_change_at = now;
        }
        subject.members.clear();
        for (const member_config& member : declared->members) {
            subject.members.push_back(member->name);
        }
    }
}

void failover_coordinator::status_observed(const member_key& member, instant now)
{
    const auto found = groups_.find(member->group);
    if (found == groups_.end()) {
        return;
    }
    group_state& subject = found->second;
    check_for_change(subject, now);
    if (subject.last_term > subject.own_record->term) {
        fire(subject, failover_event::overtaken, now);
    }
    redirect_to_primary(subject, member, now);
}

void failover_coordinator::check_for_change(group_state& subject, instant now)
{
    const group_view& view = options_.view(subject.group);
    const std::string primary = view.primary().value_or("");
    if (view.term() == subject.last_term && primary == subject.last_primary) {
        return;
    }
    if (!primary.empty()) {
        // The first primary that a daemon learns of after its start is not a change.
        if (subject.last_primary_term != 0 && view.term() > subject.last_primary_term) {
            subject.backoff = subject.backoff.with_change(now);
        }
        subject.last_primary_term = view.term();
    }
    if (view.term() > subject.last_term && subject.last_term != 0) {
        options_.poll(subject.group, now);
    }
    subject.last_term = view.term();
    subject.last_primary = primary;
    subject.last_change_at = now;
}

/// Makes a member follow the primary if it is in an older term or its log does not contain the start of the current
/// term.
void failover_coordinator::redirect_to_primary(group_state& subject, const member_key& member, instant now)
{
    const group_view& view = options_.view(subject.group);
    const auto latest = view->latest.find(member->member);
    if (!config_->routing->automatic_failover || options_.automation_paused(subject.group) ||
        subject.last_primary.empty() || latest == view->latest.end() || member->member == subject.last_primary) {
        return;
    }
    const member_status& status = latest->second->status;
    const term_number term = subject.last_term;
    const bool follows =
        status->term == term && !status->history->starts.empty() && status->history->starts.back()->term == term;
    if (follows || status->term > term) {
        subject.redirect_at.erase(member->member);
        return;
    }
    const bool leads = subject.promoted_term == term;
    const auto [due, first] =
        subject.redirect_at.try_emplace(member->member, leads ? now : now + redirect_delay + jitter(redirect_delay));
    if (now < due->second) {
        return;
    }
    const bool fenced = status->term == term;
    // The answer to the fence call reports the member's new term; the follow call is sent then.
    due->second = fenced ? now + redirect_delay + jitter(redirect_delay) : now;
    member_call_fields call{.operation = fenced ? member_operation::follow : member_operation::fence, .term = term};
    if (fenced) {
        call.primary_address = options_.address(member_key{{.group = subject.group, .member = subject.last_primary}});
        options_.count("failover_redirects_total");
    }
    options_.control(member, member_call{std::move(call)}, now);
}

void failover_coordinator::apply(const control_call_result& ended, instant now)
{
    const auto found = groups_.find(ended.member->group);
    if (found == groups_.end() || !ended.answer || ended.call->term != found->second.own_record->term) {
        return; // A lost call is repeated in the next round.
    }
    group_state& subject = found->second;
    const member_answer& answer = *ended.answer;
    if (answer->verdict == member_verdict::wrong_term && answer->term > subject.own_record->term) {
        fire(subject, failover_event::overtaken, now);
        return;
    }
    if (answer->verdict != member_verdict::done) {
        return;
    }
    if (ended.call->operation == member_operation::fence && answer->status) {
        subject.fenced.insert_or_assign(ended.member->member, *answer->status);
        fire(subject, failover_event::member_fenced, now);
    } else if (ended.call->operation == member_operation::promote &&
               ended.member->member == subject.own_record->primary) {
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
        subject.last_record = failover_record{};
    } else {
        const auto read = options_.decode(event->entry->value);
        subject.last_record = ok(read) ? std::optional(value_of(read)) : std::nullopt;
    }
    fire(subject, subject.write_in_progress ? failover_event::written : failover_event::record_read, now);
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
        const auto suspect_time = suspect_at(subject);
        const bool suspects = suspect_time && *suspect_time <= now && subject.last_term == (*query)->term;
        options_.peer(outgoing_peer_message{
            {.to = event->from,
             .message =
                 suspicion_reply{{.number = (*query)->number, .suspects = suspects, .term = subject.last_term}}}});
        if ((*query)->term > subject.last_term) {
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
            } else if ((*reply)->term > subject.last_term) {
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
        const auto suspect_time = suspect_at(subject);
        if (!suspect_time || *suspect_time > now) {
            if (!subject.last_primary.empty()) {
                subject.failed_attempts = 0;
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
        const auto suspect_time = suspect_at(subject);
        if (!suspect_time) {
            continue;
        }
        const bool may_suspect = program_.handles(subject.state, failover_event::suspected);
        if (!may_suspect && !program_.handles(subject.state, failover_event::attempt_due)) {
            continue;
        }
        const instant due = may_suspect ? *suspect_time : std::max(*suspect_time, next_attempt(subject));
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
    const auto* row = std::find_if(std::begin(timer_durations), std::end(timer_durations),
                                   [&](const timer_duration& each) { return each.name == timer->timer; });
    assert(row != std::end(timer_durations));
    timers_.arm(now + row->length,
                armed_timer{.group = subject.group, .number = ++subject.timer, .event = program_.event(timer->event)});
}

/// When the primary becomes suspect: `suspect_after` after its last answer or, if it never answered or no primary is
/// known, after the last change of the term or primary. Absent if the last call to the primary did not fail, or if no
/// term is known yet.
std::optional<instant> failover_coordinator::suspect_at(const group_state& subject) const
{
    if (subject.last_term == 0) {
        return std::nullopt;
    }
    const duration wait = config_->routing->suspect_after;
    if (subject.last_primary.empty()) {
        return subject.last_change_at + wait;
    }
    const member_key primary{{.group = subject.group, .member = subject.last_primary}};
    if (!options_.last_call_failed(primary)) {
        return std::nullopt;
    }
    return options_.last_answer(primary).value_or(subject.last_change_at) + wait;
}

instant failover_coordinator::next_attempt(const group_state& subject) const
{
    return std::max(subject.next_attempt_at, subject.backoff.earliest_change());
}

/// Whether the record belongs to a failover of another daemon that this daemon has not yet waited for.
bool failover_coordinator::another_leads(const group_state& subject) const
{
    const failover_record& record = *subject.last_record;
    return record->term > subject.last_term && record->nonce != subject.awaited_nonce;
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
                                                                     .member = subject.last_primary,
                                                                     .term = subject.last_term}}}});
}

void failover_coordinator::read_record(group_state& subject, instant now)
{
    subject.write_in_progress = false;
    subject.call = options_.next_number();
    calls_.emplace(subject.call, subject.group);
    options_.platform(platform_call{{.number = subject.call,
                                     .operation = platform_operation::read,
                                     .key = "groups/" + subject.group,
                                     .deadline = now + platform_wait}});
}

void failover_coordinator::write_record(group_state& subject, instant now)
{
    subject.write_in_progress = true;
    subject.call = options_.next_number();
    calls_.emplace(subject.call, subject.group);
    options_.platform(platform_call{{.number = subject.call,
                                     .operation = platform_operation::compare_and_swap,
                                     .key = "groups/" + subject.group,
                                     .expected = subject.revision,
                                     .value = options_.encode(subject.own_record),
                                     .deadline = now + platform_wait}});
}

void failover_coordinator::claim_term(group_state& subject, instant now)
{
    subject.own_record = failover_record{{.group = subject.group,
                                          .term = std::max((*subject.last_record)->term, subject.last_term) + 1,
                                          .leader = options_.daemon,
                                          .nonce = options_.random(),
                                          .primary = {}}};
    // A later attempt must not wait for this daemon's own record.
    subject.awaited_nonce = subject.own_record->nonce;
    subject.fenced.clear();
    write_record(subject, now);
}

void failover_coordinator::fence_members(group_state& subject, instant now)
{
    if (subject.rounds++ == 0) {
        count_and_log(subject, "failover_changes_total",
                      "starting failover in term " + std::to_string(subject.own_record->term));
    }
    for (const std::string& member : subject.members) {
        if (!subject.fenced.contains(member)) {
            options_.control(member_key{{.group = subject.group, .member = member}},
                             member_call{{.operation = member_operation::fence, .term = subject.own_record->term}},
                             now);
        }
    }
}

void failover_coordinator::choose_primary(group_state& subject)
{
    const auto most_advanced =
        std::max_element(subject.fenced.begin(), subject.fenced.end(), [](const auto& left, const auto& right) {
            return left.second.last_position() < right.second.last_position();
        });
    subject.own_record =
        with(subject.own_record, [&](failover_record_fields& fields) { fields.primary = most_advanced->first; });
}

void failover_coordinator::promote(group_state& subject, instant now)
{
    ++subject.rounds;
    options_.control(member_key{{.group = subject.group, .member = subject.own_record->primary}},
                     member_call{{.operation = member_operation::promote, .term = subject.own_record->term}}, now);
}

/// Schedules the next attempt, with exponential backoff.
void failover_coordinator::postpone(group_state& subject, instant now)
{
    const duration wait = initial_retry_delay * (std::int64_t{1} << std::min(subject.failed_attempts++, 5U));
    subject.next_attempt_at = now + wait + jitter(wait);
}

/// Schedules the next attempt, in a higher term, so that the leader of the record has time to finish first.
void failover_coordinator::yield_to_leader(group_state& subject, instant now)
{
    if (subject.last_record) {
        subject.awaited_nonce = (*subject.last_record)->nonce;
    }
    const duration wait =
        config_->routing->suspect_after * (std::int64_t{1} << std::min(subject.failed_attempts++, max_yield_doublings));
    subject.next_attempt_at = now + wait + jitter(wait);
    options_.poll(subject.group, now);
}

void failover_coordinator::count_and_log(const group_state& subject, std::string_view counter,
                                         const std::string& what) const
{
    options_.count(counter);
    options_.log("group " + subject.group + ": " + what);
}

} // namespace citronfall
