// How many statements the daemons of a fleet together have in flight on a member that has just started or recovered.

#include "pool/member_pace.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t slots = 4;
constexpr duration work = 20ms; ///< Mean time of a statement in a slot.

/// Callers expect an answer within this time.
constexpr duration patience = 150ms;

/// The routes give up a statement after this time.
constexpr duration statement_timeout = 800ms;

/// A member and the daemons that send it statements, in virtual time. What a daemon may not send now goes to another
/// member.
///
/// Seeded; the time of a statement varies around its mean as that of real ones does.
class paced_fleet {
public:
    struct options {
        std::size_t daemons = 6;
        std::size_t queue = 32;          ///< Statements that wait for a slot; further ones are refused.
        double demand = 0;               ///< Relative to what the member can do; 0: all that the daemons may send.
        double others_refused_share = 0; ///< Of the other members of the service.
        std::optional<duration> others_latency = work;
    };

    /// What happened during a call of run().
    struct counts {
        std::size_t sent = 0;
        std::size_t refused = 0;
        std::size_t answered = 0;
        std::size_t most_in_flight = 0;
        duration longest{}; ///< Time of the slowest answer.
        duration busy{};    ///< Sum over all slots.
    };

    explicit paced_fleet(const options& chosen) : options_(chosen), daemons_(chosen.daemons)
    {
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            daemons_[i].pace.begin({.slots = slots, .holders = daemons_.size(), .position = i, .typical_latency = work},
                                   now_);
        }
    }

    /// The member works this many times slower from now on.
    void set_slowness(double factor) { slowness_ = factor; }

    /// Daemons whose ramp is in progress.
    [[nodiscard]] std::size_t ramping() const
    {
        return static_cast<std::size_t>(
            std::count_if(daemons_.begin(), daemons_.end(), [](const daemon& each) { return each.pace.ramping(); }));
    }

    counts run(duration length)
    {
        counts seen;
        for (const instant end = now_ + length; now_ < end; now_ += step) {
            finish(seen);
            send(seen);
            seen.busy += step * static_cast<duration::rep>(running_.size());
            seen.most_in_flight = std::max(seen.most_in_flight, running_.size() + waiting_.size());
        }
        return seen;
    }

    /// Share of the slots that was in use.
    static double used(const counts& seen, duration length)
    {
        return static_cast<double>(seen.busy.count()) / static_cast<double>((length * slots).count());
    }

private:
    static constexpr duration step = 500us;

    struct daemon {
        member_pace pace;
        std::size_t in_flight = 0;
    };

    struct statement {
        std::size_t daemon = 0;
        instant sent_at{};
        instant done_at{};
    };

    /// Uniform in (0, 1].
    double random()
    {
        random_state_ = random_state_ * 6364136223846793005ULL + 1442695040888963407ULL;
        return (static_cast<double>(random_state_ >> 33U) + 1) / 2147483648.0;
    }

    /// Whether a daemon has a statement for the member at this step.
    bool is_wanted()
    {
        const double arrivals = options_.demand * slots * static_cast<double>(step.count()) /
                                static_cast<double>(work.count()) / static_cast<double>(daemons_.size());
        return options_.demand == 0 || random() <= arrivals;
    }

    void observe(std::size_t index, pace_signal signal, duration latency)
    {
        --daemons_[index].in_flight;
        daemons_[index].pace.observe(
            signal, latency, {.latency = options_.others_latency, .refused_share = options_.others_refused_share},
            now_);
    }

    void start_waiting()
    {
        while (running_.size() < slots && !waiting_.empty()) {
            statement next = waiting_.front();
            waiting_.pop_front();
            // Between half and one and a half of the mean.
            next.done_at = now_ + std::chrono::duration_cast<duration>(work * slowness_ * (0.5 + random()));
            running_.push_back(next);
        }
    }

    void finish(counts& seen)
    {
        for (std::size_t i = 0; i < running_.size();) {
            if (running_[i].done_at > now_) {
                ++i;
                continue;
            }
            const statement done = running_[i];
            running_.erase(running_.begin() + static_cast<std::ptrdiff_t>(i));
            const duration took = now_ - done.sent_at;
            ++seen.answered;
            seen.longest = std::max(seen.longest, took);
            observe(done.daemon, pace_signal::answered, took);
        }
        start_waiting();
    }

    void send(counts& seen)
    {
        const std::size_t first = static_cast<std::size_t>(random() * static_cast<double>(daemons_.size()));
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            const std::size_t index = (first + i) % daemons_.size();
            while (daemons_[index].pace.allows(daemons_[index].in_flight, now_) &&
                   daemons_[index].in_flight < max_in_flight && is_wanted()) {
                ++daemons_[index].in_flight;
                ++seen.sent;
                if (running_.size() == slots && waiting_.size() >= options_.queue) {
                    ++seen.refused;
                    observe(index, pace_signal::refused, 1ms);
                    break;
                }
                waiting_.push_back({.daemon = index, .sent_at = now_});
                start_waiting();
            }
        }
    }

    static constexpr std::size_t max_in_flight = 8; ///< Connections of one daemon.

    options options_;
    std::vector<daemon> daemons_;
    std::vector<statement> running_;
    std::deque<statement> waiting_;
    instant now_{1h};
    double slowness_ = 1;
    std::uint64_t random_state_ = 1;
};
/// Daemons that keep connections to a member: of a small deployment, and where each daemon keeps one.
const std::vector<std::size_t> fleets{1, 6, 7, 19, 58, 83};

} // namespace

TEST_CASE("daemons that begin at once do not flood a member, and soon use its slots", "[pace]")
{
    // Guards against one statement of each daemon at once, 58 on 4 slots, on a member that has just started, and
    // against a pace so careful that its slots stay unused.
    for (const std::size_t daemons : fleets) {
        INFO("daemons " << daemons);
        paced_fleet fleet({.daemons = daemons});
        const auto first = fleet.run(200ms);
        CHECK(first.most_in_flight <= 3 * slots);
        const auto start = fleet.run(800ms);
        CHECK(first.refused + start.refused == 0);
        CHECK(paced_fleet::used(start, 800ms) >= 0.8);
        if (daemons > 1) { // One alone is not limited any more.
            CHECK(std::max(first.longest, start.longest) <= patience);
        }
    }
}

TEST_CASE("daemons find the pace of a member that refuses instead of queueing", "[pace]")
{
    // Guards against a ramp that learns only from latency: a member without a queue answers in time and refuses the
    // rest, at a demand of one and a half of what it can do about half of all statements.
    for (const std::size_t daemons : {6U, 58U, 83U}) {
        INFO("daemons " << daemons);
        paced_fleet fleet({.daemons = daemons, .queue = 0, .demand = 1.5});
        fleet.run(500ms);
        const auto seen = fleet.run(2s);
        CHECK(static_cast<double>(seen.refused) <= static_cast<double>(seen.sent) / 3);
        CHECK(paced_fleet::used(seen, 2s) >= 0.4);
    }
}

TEST_CASE("daemons back off from a member that turns slow again, and return to it", "[pace]")
{
    // Guards against a ramp that ends with the first good answers, and against one that remembers the relapse for ever.
    for (const std::size_t daemons : {6U, 58U, 83U}) {
        INFO("daemons " << daemons);
        paced_fleet fleet({.daemons = daemons});
        fleet.run(100ms);
        fleet.set_slowness(5);
        fleet.run(3s);
        const auto slow = fleet.run(1s);
        CHECK(slow.refused == 0);
        CHECK(slow.longest <= statement_timeout);
        fleet.set_slowness(1);
        fleet.run(5s);
        CHECK(paced_fleet::used(fleet.run(1s), 1s) >= 0.8);
    }
}

TEST_CASE("the ramps of members that recover together end without other members to compare with", "[pace]")
{
    // Guards against ramps that last for ever because no other member of the service answers.
    for (const std::size_t daemons : {6U, 58U, 83U}) {
        INFO("daemons " << daemons);
        paced_fleet fleet({.daemons = daemons, .demand = 0.7, .others_latency = std::nullopt});
        fleet.run(1s);
        const auto seen = fleet.run(19s);
        CHECK(seen.refused == 0);
        CHECK(paced_fleet::used(seen, 19s) >= 0.6);
        CHECK(fleet.ramping() <= daemons / 10);
    }
}

TEST_CASE("a member that answers like the others is soon used without limit", "[pace]")
{
    member_pace pace;
    instant now{1h};
    pace.begin({.slots = slots, .holders = 6, .position = 0, .typical_latency = work}, now);
    std::size_t answers = 0;
    for (; pace.ramping() && answers < 100; ++answers) {
        now = std::max(now, pace.next_send()) + work;
        pace.observe(pace_signal::answered, work, {.latency = work}, now);
    }
    CHECK(answers <= 20);
    CHECK(pace.allows(1000, now));
}

TEST_CASE("a statement that no other member can serve is always sent, one at a time", "[pace]")
{
    // Guards against writes that wait for the pace of the only member that can run them.
    member_pace pace;
    const instant now{1h};
    pace.begin({.slots = slots, .holders = 58, .position = 57, .typical_latency = work}, now);
    CHECK_FALSE(pace.allows(0, now));
    CHECK(pace.allows_only_choice(0, now));
    CHECK_FALSE(pace.allows_only_choice(1, now));
}

TEST_CASE("time-outs keep the pace low until the member answers", "[pace]")
{
    member_pace pace;
    instant now{1h};
    pace.begin({.slots = slots, .holders = 2, .position = 0, .typical_latency = work}, now);
    const double start = pace.allowance();
    for (int i = 0; i < 10; ++i) {
        now += 800ms;
        pace.observe(pace_signal::unanswered, 800ms, {.latency = work}, now);
    }
    CHECK(pace.ramping());
    CHECK(pace.allowance() < start);
    CHECK(pace.next_send() - now <= 1s); // It is tried again soon.
}
