#include "mirror/store_mirror.h"

#include "chart/embedded_program.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <utility>

namespace citronfall {
namespace {

/// Initial timeout of a page read. A healthy store answers in milliseconds. A call that was sent during an outage is
/// never answered, and the daemon cannot serve before the initial read is complete.
constexpr duration initial_read_timeout = std::chrono::milliseconds(300);

/// Maximum timeout of a page read. The timeout doubles with each failure, in case the store is only slow.
constexpr duration max_read_timeout = std::chrono::milliseconds(2400);

/// Added to the long-poll time of a watch for its timeout.
constexpr duration watch_timeout_allowance = std::chrono::milliseconds(1500);

/// Long-poll time of a watch while it is not known whether the store answers: peers that follow this daemon rely on it
/// once it does.
constexpr duration first_watch_wait = std::chrono::milliseconds(1);

/// Initial backoff after a failed call, short to recover quickly from a lost answer or connection.
constexpr duration initial_backoff = std::chrono::milliseconds(250);

/// Maximum backoff while calls keep failing: rejected calls are charged as well, and peers relay changes meanwhile.
constexpr duration max_backoff = std::chrono::milliseconds(1500);

/// Backoff until the initial read is complete, because the daemon cannot serve before.
constexpr duration initial_read_backoff = std::chrono::milliseconds(100);

} // namespace

store_mirror::store_mirror(store_mirror_options options)
    : options_(std::move(options)), read_timeout_(initial_read_timeout), backoff_(initial_backoff, max_backoff),
      table_([this](const store_item& item, store_era era) { options_.changed(item, era); }),
      reads_stale_(options_.starts_stale)
{
}

result<std::unique_ptr<store_mirror>> store_mirror::make(store_mirror_options options)
{
    std::unique_ptr<store_mirror> mirror(new store_mirror(std::move(options)));
    if (const auto bound = mirror->bind(); !ok(bound)) {
        return error_of(bound);
    }
    return mirror;
}

result<done> store_mirror::bind()
{
    auto made = make_embedded_program<event, context>("store_mirror", bindings());
    if (!ok(made)) {
        return error_of(made);
    }
    program_.emplace(take(std::move(made)));
    state_ = program_->initial();
    return done{};
}

chart_bindings<store_mirror::context> store_mirror::bindings()
{
    return {.events = {"due", "page_read", "changed", "history_gone", "restored", "failed", "too_long", "unreadable",
                       "hung"},
            .guards = {{"more_pages",
                        [](const context& each) {
                            return (*each.answer)->more_pages && !(*each.answer)->items.empty();
                        }},
                       {"watches",
                        [](const context& each) {
                            return each.mirror.options_.watches();
                        }},
                       {"follows_a_copy", // A peer has already sent the contents.
                        [](const context& each) {
                            const store_mirror& mirror = each.mirror;
                            return !mirror.options_.watches() && mirror.table_.complete_to() != store_revision{};
                        }}},
            .actions = {
                {"start_snapshot",
                 [](context& each) {
                     each.mirror.start_reading();
                 }},
                {"read_page",
                 [](context& each) {
                     each.mirror.read_page();
                 }},
                {"add_page",
                 [](context& each) {
                     each.mirror.add_page(*each.answer);
                 }},
                {"apply_snapshot",
                 [](context& each) {
                     each.mirror.apply_pages();
                 }},
                {"apply_changes",
                 [](context& each) {
                     each.mirror.apply_events(*each.answer);
                 }},
                {"pause_shortly",
                 [](context& each) {
                     each.mirror.next_attempt_ = each.now + each.mirror.options_.batch_delay;
                 }},
                {"start_watch",
                 [](context& each) {
                     each.mirror.start_watch();
                 }},
                {"follow",
                 [](context& each) {
                     each.mirror.live_ = false;
                     each.mirror.next_attempt_ = each.now;
                 }},
                {"drop_call",
                 [](context& each) {
                     each.mirror.pending_call_ = 0;
                     each.mirror.options_.log("watch_abandoned", "prefix=" + each.mirror.options_.prefix);
                 }},
                {"note_gap",
                 [](context& each) {
                     each.mirror.options_.log("store_history_gone", "prefix=" + each.mirror.options_.prefix +
                                                                        " after=" + to_text(each.mirror.watched_from_));
                 }},
                {"note_long_answer",
                 [](context& each) {
                     each.mirror.options_.log("store_answer_too_long",
                                              "prefix=" + each.mirror.options_.prefix +
                                                  " after=" + to_text(each.mirror.watched_from_));
                 }},
                {"note_restored",
                 [](context& each) {
                     store_mirror& mirror = each.mirror;
                     mirror.failed_at_ = each.now;
                     mirror.pending_call_ = 0; // A call of the former era tells nothing more.
                     mirror.options_.log("store_restored", "prefix=" + mirror.options_.prefix +
                                                               " after=" + to_text(mirror.table_.complete_to()));
                 }},
                {"note_failure",
                 [](context& each) {
                     each.mirror.note_failure(*each.answer, each.now);
                 }},
            }};
}

void store_mirror::fire(event what, const store_answer* answer, instant now)
{
    context each{.mirror = *this, .answer = answer, .now = now};
    state_ = program_->fire(state_, what, each).state;
}

void store_mirror::tick(instant now)
{
    if (const auto due = next(); due && now >= *due) {
        fire(event::due, nullptr, now);
    }
}

std::optional<instant> store_mirror::next() const
{
    const bool waits_for_peers = following() && !options_.watches();
    return pending_call_ != 0 || waits_for_peers ? std::nullopt : std::optional(next_attempt_);
}

bool store_mirror::following() const
{
    return program_->state_name(state_) == "following";
}

store_mirror::event store_mirror::event_of(const store_answer& answer) const
{
    if (answer->outcome == call_outcome::history_gone) {
        return event::history_gone;
    }
    if (answer->outcome == call_outcome::too_long) {
        return event::too_long;
    }
    if (answer->outcome == call_outcome::malformed) {
        return event::unreadable;
    }
    if (answer->outcome != call_outcome::done || era_of(answer) < known_era()) {
        return event::failed;
    }
    const bool reading = program_->handles(state_, event::page_read);
    const bool first_page = reading && page_items_.empty();
    const store_era continued = reading ? snapshot_at_.era : watched_from_.era;
    if (!first_page && era_of(answer) != continued) {
        return event::restored;
    }
    return reading ? event::page_read : event::changed;
}

bool store_mirror::handle(const store_answer& answer, instant now)
{
    if (pending_call_ == 0 || answer->number != pending_call_) {
        return false;
    }
    pending_call_ = 0;
    const event what = event_of(answer);
    if (what != event::failed && what != event::unreadable) {
        if (!live_ && failed_at_) {
            options_.log("store_regained", "prefix=" + options_.prefix);
        }
        read_timeout_ = initial_read_timeout;
        backoff_.reset();
        live_ = live_ || what == event::changed || (what == event::page_read && !answer->more_pages);
    }
    fire(what, &answer, now);
    return true;
}

/// The latest era that the mirror has read or received from a peer.
store_era store_mirror::known_era() const
{
    return table_.era();
}

/// Era of an answer. One that states none counts as current, as a store without eras sends no other.
store_era store_mirror::era_of(const store_answer& answer) const
{
    return answer->era == 0 ? known_era() : answer->era;
}

void store_mirror::apply_peer_changes(const store_changes& changes, instant now)
{
    const bool later = changes->at.era > table_.era();
    if (changes->at.era < table_.era() || (later && !changes->complete)) {
        return;
    }
    if (!changes->complete) {
        table_.apply_changes(changes->items, changes->at);
        return;
    }
    std::vector<store_item> present;
    std::copy_if(changes->items.begin(), changes->items.end(), std::back_inserter(present),
                 [](const store_item& each) { return !each->deleted; });
    table_.apply_snapshot(present, changes->at);
    if (later) {
        note_era(changes->at.era, now);
    }
}

void store_mirror::note_era(store_era era, instant now)
{
    // A read in progress compares the eras of its own pages, and a daemon that follows gets the contents from a peer.
    const bool reading = program_->handles(state_, event::page_read);
    if (!reading && !following() && watched_from_ != store_revision{} && era > watched_from_.era) {
        fire(event::restored, nullptr, now);
    }
}

void store_mirror::abandon_watch(instant now)
{
    fire(event::hung, nullptr, now);
}

void store_mirror::start_reading()
{
    page_items_.clear();
    snapshot_at_ = {};
}

void store_mirror::read_page()
{
    const std::string after = page_items_.empty() ? std::string{} : page_items_.back()->key;
    pending_call_ = options_.call(read_range{{.prefix = options_.prefix, .after_key = after, .stale = reads_stale_}},
                                  read_timeout_);
}

/// Pages are read one after the other, and stale ones may be of any order: all are complete up to the lowest revision.
void store_mirror::add_page(const store_answer& page)
{
    const bool first = page_items_.empty();
    snapshot_at_ = {.era = era_of(page),
                    .revision = first ? page->revision : std::min(snapshot_at_.revision, page->revision)};
    page_items_.insert(page_items_.end(), page->items.begin(), page->items.end());
}

void store_mirror::apply_pages()
{
    table_.apply_snapshot(std::exchange(page_items_, {}), snapshot_at_);
    reads_stale_ = false;
    options_.log("store_range_read", "prefix=" + options_.prefix + " items=" + std::to_string(table_.items().size()) +
                                         " revision=" + to_text(snapshot_at_));
}

void store_mirror::apply_events(const store_answer& answer)
{
    const store_revision at{.era = watched_from_.era, .revision = answer->revision};
    if (at.era == table_.era()) {
        table_.apply_changes(answer->items, at);
    }
}

void store_mirror::start_watch()
{
    assert(table_.complete_to() != store_revision{});
    watched_from_ = table_.complete_to();
    const duration wait = live_ ? options_.watch_wait : first_watch_wait;
    pending_call_ =
        options_.call(watch_range{{.prefix = options_.prefix, .after = watched_from_.revision, .wait = wait}},
                      wait + watch_timeout_allowance);
}

void store_mirror::note_failure(const store_answer& answer, instant now)
{
    if (live_ || !failed_at_) {
        options_.log("store_lost", "prefix=" + options_.prefix + " outcome=" + call_outcome_name(answer->outcome) +
                                       " reason=\"" + answer->detail + "\"");
    }
    live_ = false;
    failed_at_ = now;
    read_timeout_ = std::min(read_timeout_ * 2, max_read_timeout);
    next_attempt_ = now + (table_.complete_to() == store_revision{} ? initial_read_backoff : backoff_.next_delay());
}

} // namespace citronfall
