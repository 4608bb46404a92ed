#include "pool/member_pace.h"

#include <algorithm>
#include <cmath>

namespace citronfall {
namespace {

/// Part of the slots that all daemons together use at the start of a ramp. They do not know of each other's statements,
/// so at more than half the slots many would find no free one by chance.
constexpr double start_part = 0.5;

/// Lower bound of the allowance, relative to its start, so that a member that recovers is noticed.
constexpr double least_part = 0.25;

/// Growth of the allowance with each answer, relative to it and by at most this part of a statement: beyond this
/// daemon's part of the slots, before and after the first sign of overload. The latter keeps the next overshoot small.
constexpr double fast_growth = 0.25;
constexpr double slow_growth = 0.1;

/// Factor of the allowance after a refusal or a time-out.
constexpr double shrink_factor = 0.5;

/// Factors of the allowance after slow answers. All daemons see those at the same time, so answers that are a little
/// slow count for less. Answers that take several times as long show a queue that has to drain first.
constexpr double least_slow_factor = 0.7;
constexpr double very_slow_factor = 0.25;
constexpr double very_slow = 3.0;

/// An average latency of this many times that of other members counts as slow. Statements differ by less on average.
constexpr double slow_factor = 2.0;

/// Refusals beyond the share of other members by less than this are chance.
constexpr double refusal_tolerance = 0.05;

/// Weight of one statement in the averages. The costs of statements vary, and a queue on the member must show within a
/// few answers.
constexpr double sample_weight = 0.25;

/// Time constant of the average latency where answers are rarer than that: older ones tell nothing of the member's
/// present load.
constexpr double latency_memory_s = 0.2;

/// Upper bound on the pause between statements, so that each daemon notices within it that the member recovers: a
/// second, or longer where all daemons together would send more than 25 statements a second.
constexpr duration min_longest_pause = std::chrono::seconds(1);
constexpr duration longest_pause_per_holder = std::chrono::milliseconds(40);

/// Time constant of the decay of the share of refusals while nothing is sent.
constexpr double refusal_memory_s = 2.0;

/// The ramp ends after this many answers in good time in a row, if there are no pauses between statements any more.
constexpr std::size_t calm_answers_to_end = 12;

duration scaled(duration value, double factor)
{
    return std::chrono::duration_cast<duration>(value * factor);
}

} // namespace

void member_pace::begin(const pace_start& start, instant now)
{
    const auto holders = static_cast<double>(std::max<std::size_t>(start.holders, 1));
    slots_ = std::max<double>(start.slots, 1);
    ramping_ = true;
    calm_answers_ = 0;
    average_latency_ = {};
    refused_share_ = 0;
    observed_at_ = now;
    shrunk_at_ = {};
    typical_latency_ = start.typical_latency;
    start_allowance_ = slots_ * start_part / holders;
    allowance_ = start_allowance_;
    overloaded_ = false;
    longest_pause_ = std::max<duration>(longest_pause_per_holder * start.holders, min_longest_pause);
    next_send_ = now;
    if (allowance_ < 1) {
        // One after the other within the time in which each may send one statement.
        next_send_ += scaled(start.typical_latency, static_cast<double>(start.position) / holders / allowance_);
    }
}

bool member_pace::allows(std::size_t running, instant now) const
{
    if (!ramping_) {
        return true;
    }
    const double limit = std::max(allowance_, 1.0);
    return now >= next_send_ && static_cast<double>(running) + 1 <= limit;
}

bool member_pace::allows_only_choice(std::size_t running, instant now) const
{
    return running == 0 || allows(running, now);
}

void member_pace::observe(pace_signal signal, duration latency, const pace_reference& others, instant now)
{
    const double refused = signal == pace_signal::refused ? 1 : 0;
    const double share = refused_share(now);
    refused_share_ = share + (refused - share) * sample_weight;
    observed_at_ = now;
    if (!ramping_) {
        return;
    }
    if (signal == pace_signal::answered) {
        add_latency(latency, now);
    }
    const bool refused_more =
        signal == pace_signal::refused && refused_share_ > others.refused_share + refusal_tolerance;
    if (signal == pace_signal::unanswered || refused_more) {
        shrink(shrink_factor, now);
    } else if (signal == pace_signal::answered && slowness(others) > 1) {
        const bool queued = slowness(others) >= very_slow;
        shrink(queued ? very_slow_factor : std::max(1 / slowness(others), least_slow_factor), now);
    } else if (signal == pace_signal::answered) {
        ++calm_answers_;
        grow();
        end_if_calm();
    }
    pause(signal, latency, others, now);
}

/// Sets the time of the next statement. With an allowance below one, a member that answers in good time has one in
/// flight for that share of the time. After a refusal a slot takes about the time of an answer to become free.
void member_pace::pause(pace_signal signal, duration latency, const pace_reference& others, instant now)
{
    const duration usual = others.latency.value_or(typical_latency_);
    // Time in a queue on the member does not count: the pauses would repeat the burst that filled it.
    const duration used = signal == pace_signal::answered ? std::min(latency, usual) : duration{};
    if (allowance_ < 1) {
        next_send_ = now + std::max(std::min(scaled(usual, 1 / allowance_), longest_pause_) - used, duration{});
    } else if (signal == pace_signal::refused) {
        next_send_ = now + usual;
    }
}

void member_pace::add_latency(duration latency, instant now)
{
    const double age_s = std::chrono::duration<double>(now - answered_at_).count();
    const bool first = average_latency_ == duration{};
    const double weight = first ? 1 : std::max(1 - std::exp(-age_s / latency_memory_s), sample_weight);
    average_latency_ += scaled(latency - average_latency_, weight);
    answered_at_ = now;
}

/// Average latency relative to that from which it counts as slow.
double member_pace::slowness(const pace_reference& others) const
{
    if (!others.latency || *others.latency <= duration{}) {
        return 0;
    }
    return static_cast<double>(average_latency_.count()) / static_cast<double>(others.latency->count()) / slow_factor;
}

/// A daemon returns to its start at once, and to its part of the slots with the next answer.
void member_pace::grow()
{
    const double part = start_allowance_ / start_part;
    if (allowance_ < start_allowance_) {
        allowance_ = start_allowance_;
    } else if (allowance_ < part) {
        allowance_ = std::min(2 * allowance_, part);
    } else {
        allowance_ += (overloaded_ ? slow_growth : fast_growth) * std::min(allowance_, 1.0);
    }
}

/// Shrinks once for all statements that were in flight together.
void member_pace::shrink(double factor, instant now)
{
    calm_answers_ = 0;
    if (now - shrunk_at_ < average_latency_) {
        return;
    }
    shrunk_at_ = now;
    allowance_ = std::max(allowance_ * factor, start_allowance_ * least_part);
    overloaded_ = true;
}

void member_pace::end_if_calm()
{
    const bool answers_like_others = calm_answers_ >= calm_answers_to_end && allowance_ >= 1;
    if (answers_like_others || allowance_ >= slots_) {
        ramping_ = false;
    }
}

double member_pace::refused_share(instant now) const
{
    const double idle_s = std::chrono::duration<double>(now - observed_at_).count();
    return refused_share_ * std::exp(-idle_s / refusal_memory_s);
}

std::size_t member_pace::useful_connections() const
{
    return std::max<std::size_t>(static_cast<std::size_t>(std::ceil(allowance_)), 1);
}

} // namespace citronfall
