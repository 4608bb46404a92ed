// Fraction of reads that replicas serve, and staleness violations, in virtual time, with three members of a small
// simulated group and one daemon in each data centre. For comparison, each read is repeated at the primary (naive) and
// at the nearest replica without a required position (unchecked); the latter shows that the check detects violations.
// Fixed seed. Usage: replica_reads_bench [seconds of virtual time].

#include "request/request_engine.h"
#include "standin/member_model.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace {

using namespace citronfall;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 20261204;
constexpr instant start{100s};
constexpr duration accepted_age = 500ms;
constexpr duration same_data_center = 100us; ///< One way.
constexpr std::size_t sites = 3;             ///< Data centres, with one member and one daemon each.

struct user {
    const char* name;
    duration between; ///< One way between data centres.
};

/// Replication lag, and the evidence that the writers' class requires for a confirmation.
struct scenario {
    const char* name;
    duration first_lag;
    duration second_lag;
    evidence_kind evidence;
};

struct totals {
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t by_replica = 0;
    std::uint64_t violations = 0;
    std::vector<duration> latencies;

    [[nodiscard]] double milliseconds(double quantile)
    {
        if (latencies.empty()) {
            return 0;
        }
        std::sort(latencies.begin(), latencies.end());
        const auto at = static_cast<std::size_t>(quantile * static_cast<double>(latencies.size() - 1));
        return static_cast<double>(latencies[at].count()) / 1000.0;
    }
};

/// A read in progress and what it has to reflect.
struct pending_read {
    instant at;
    std::vector<int> required; ///< By site: number of the newest write that the answer must include.
    bool session = false;
};

class simulation {
public:
    simulation(const user& who, const scenario& parameters) : who_(who), scenario_(parameters)
    {
        for (std::size_t i = 0; i < sites; ++i) {
            members_.emplace_back(member_name(i));
        }
        members_[0].become_primary(start);
        for (std::size_t i = 0; i < sites; ++i) {
            daemons_.push_back(std::make_unique<daemon>());
            build(i);
        }
    }

    void run(duration length)
    {
        const instant end = start + length;
        for (std::size_t i = 0; i < sites; ++i) {
            for (std::size_t member = 0; member < sites; ++member) {
                at(start + duration(static_cast<std::int64_t>(random_() % 100'000)),
                   [this, i, member](instant now) { poll(i, member, now); });
            }
            at(start + 2s, [this, i](instant now) { write(i, now); });
            at(start + 4s, [this, i, end](instant now) { next_read(i, now, end); });
        }
        while (!events_.empty() && events_.begin()->first <= end) {
            auto event = events_.extract(events_.begin());
            event.mapped()(event.key());
        }
    }

    totals aged;      ///< Reads with bounded staleness.
    totals session;   ///< Reads with a session token, right after the session's own write.
    totals naive;     ///< The same reads, always at the primary.
    totals unchecked; ///< The same reads at the nearest replica, without a required position.

private:
    using action = std::function<void(instant)>;

    struct status_channel {
        bool outstanding = false;
        bool poll_again = false;
    };

    struct daemon {
        group_view view{{.group = "g", .member_count = sites}};
        std::optional<router> routes;
        std::optional<request_engine> engine;
        std::map<member_key, std::deque<request_handle>> queues;
        std::map<connection_number, std::size_t> targets;
        std::map<request_handle, pending_read> reads;
        std::map<request_handle, instant> writes;
        status_channel channels[sites];
        std::optional<instant> next_tick;
        session_token token;
        int written = 0;
        std::map<instant, int> confirmed; ///< Number of confirmed writes by time of confirmation.
    };

    static std::string member_name(std::size_t i) { return "m" + std::to_string(i); }
    static std::size_t index_of(const member_key& member) { return static_cast<std::size_t>(member->member[1] - '0'); }

    void at(instant when, action act) { events_.emplace(when, std::move(act)); }
    [[nodiscard]] duration network_delay(std::size_t from, std::size_t to) const
    {
        return from == to ? same_data_center : who_.between;
    }

    void build(std::size_t i)
    {
        daemon& self = *daemons_[i];
        self.routes.emplace(router_options{.data_center = "dc" + std::to_string(i), .random = [this] {
                                               return random_();
                                           }});
        group_config_fields group{.name = "g", .slots_per_member = 3};
        for (std::size_t m = 0; m < sites; ++m) {
            group.members.push_back(member_config{{.name = member_name(m), .data_center = "dc" + std::to_string(m)}});
        }
        self.routes->configure(operator_config{{.groups = {{"g", group_config{std::move(group)}}}}});
        self.engine.emplace(take(request_engine::make(
            {.routes = &*self.routes,
             .view = [&self](const std::string&) -> const group_view& { return self.view; },
             .admit = [](const caller_request&, const member_key&, instant) { return std::optional<refusal>(); },
             .enqueue = [&self](const caller_request& each, const member_key& member,
                                instant) { self.queues[member].push_back(each->handle); },
             .withdraw =
                 [&self](request_handle each) {
                     for (auto& [member, queue] : self.queues) {
                         std::erase(queue, each);
                     }
                 },
             .ready = [&self](const member_key& member, instant) { return self.queues[member].size(); },
             .take =
                 [&self](const member_key& member, instant) {
                     auto& queue = self.queues[member];
                     const std::optional<request_handle> first = queue.front();
                     queue.pop_front();
                     return first;
                 },
             .exchange_ended = [](request_handle, instant) {},
             .request_ended = [](request_handle, instant) {},
             .acquire =
                 [this, &self](const member_key& member) {
                     self.targets[++numbers_] = index_of(member);
                     return std::optional(numbers_);
                 },
             .ensure_connections = [](const member_key&, std::size_t, instant) {},
             .release = [&self](connection_number each) { self.targets.erase(each); },
             .discard = [&self](connection_number each) { self.targets.erase(each); },
             .poll_group_status =
                 [this, i](const std::string&, instant now) {
                     for (std::size_t member = 0; member < sites; ++member) {
                         poll_now(i, member, now);
                     }
                 },
             .observe_position =
                 [&self](const member_key& member, const member_answer& said) {
                     self.view = self.view.advance(member->member, said->term, said->position);
                     self.routes->observe(self.view);
                 },
             .next_number = [this] { return ++numbers_; },
             .send = [this, i](const upstream_command& command) { call(i, command); },
             .answer = [this, i](const caller_answer& reply) { answered(i, reply); },
             .random = [this] { return random_(); },
             .retry_percent =
                 [] {
                     return 10U;
                 }})));
    }

    member_answer handle(std::size_t member, const member_call& call, instant now)
    {
        if (member != 0) {
            members_[member].replicate_from(members_[0],
                                            now - (member == 1 ? scenario_.first_lag : scenario_.second_lag));
        }
        return members_[member].handle(0, call, now);
    }

    void call(std::size_t i, const upstream_command& command)
    {
        const std::size_t member = daemons_[i]->targets.at(command->connection);
        const instant sent = now_;
        at(sent + network_delay(i, member), [=, this](instant arrived) {
            const member_answer answer = handle(member, command->call, arrived);
            at(arrived + network_delay(member, i), [=, this](instant now) {
                now_ = now;
                daemons_[i]->engine->apply(upstream_event{{.kind = upstream_event_kind::answered,
                                                           .connection = command->connection,
                                                           .exchange = command->exchange,
                                                           .answer = answer,
                                                           .bytes_sent = true,
                                                           .sent_at = sent,
                                                           .received_at = now}},
                                           now);
                schedule(i, now);
            });
        });
    }

    void poll_now(std::size_t i, std::size_t member, instant now)
    {
        status_channel& channel = daemons_[i]->channels[member];
        if (channel.outstanding) {
            channel.poll_again = true;
        } else {
            send_status(i, member, now);
        }
    }

    void poll(std::size_t i, std::size_t member, instant now)
    {
        if (!daemons_[i]->channels[member].outstanding) {
            send_status(i, member, now);
        }
        at(now + 100ms, [this, i, member](instant later) { poll(i, member, later); });
    }

    void send_status(std::size_t i, std::size_t member, instant sent)
    {
        status_channel& channel = daemons_[i]->channels[member];
        channel.outstanding = true;
        channel.poll_again = false;
        at(sent + network_delay(i, member), [=, this](instant arrived) {
            const member_answer answer = handle(member, member_call{{.operation = member_operation::status}}, arrived);
            at(arrived + network_delay(member, i), [=, this](instant now) {
                now_ = now;
                daemon& self = *daemons_[i];
                self.channels[member].outstanding = false;
                self.view = self.view.observe(
                    status_observation{{.status = *answer->status, .sent_at = sent, .received_at = now}});
                self.routes->observe(self.view);
                self.engine->evidence_changed("g", now);
                if (self.channels[member].poll_again) {
                    send_status(i, member, now);
                }
                schedule(i, now);
            });
        });
    }

    /// Schedules the engine's next timer.
    void schedule(std::size_t i, instant now)
    {
        daemon& self = *daemons_[i];
        const auto next = self.engine->next();
        if (!next || (self.next_tick && *self.next_tick <= *next && *self.next_tick > now)) {
            return;
        }
        self.next_tick = std::max(*next, now);
        at(*self.next_tick, [this, i](instant due) {
            now_ = due;
            daemons_[i]->next_tick.reset();
            daemons_[i]->engine->tick(due);
            schedule(i, due);
        });
    }

    void start_request(std::size_t i, caller_request_fields fields, instant now)
    {
        now_ = now;
        fields.group = "g";
        fields.received = now;
        fields.deadline = now + 2s;
        const bool write = fields.kind == statement_kind::write;
        daemons_[i]->engine->start(caller_request{std::move(fields)},
                                   class_config{{.evidence = write ? scenario_.evidence : evidence_kind::majority}},
                                   now);
        schedule(i, now);
    }

    /// Each daemon has one writer, which sends its next write some time after the confirmation of the previous one.
    void write(std::size_t i, instant now)
    {
        daemon& self = *daemons_[i];
        const request_handle handle = ++numbers_;
        self.writes.emplace(handle, now);
        start_request(i,
                      {.handle = handle,
                       .kind = statement_kind::write,
                       .statement = "set count-" + std::to_string(i) + " " + std::to_string(self.written + 1),
                       .request_id = "w-" + std::to_string(handle)},
                      now);
    }

    [[nodiscard]] std::vector<int> confirmed_before(instant when) const
    {
        std::vector<int> numbers;
        for (const auto& each : daemons_) {
            const auto after = each->confirmed.lower_bound(when);
            numbers.push_back(after == each->confirmed.begin() ? 0 : std::prev(after)->second);
        }
        return numbers;
    }

    void next_read(std::size_t i, instant now, instant end)
    {
        const request_handle handle = ++numbers_;
        const pending_read read{.at = now, .required = confirmed_before(now - accepted_age), .session = false};
        daemons_[i]->reads.emplace(handle, read);
        start_request(i, {.handle = handle, .statement = "list count-", .max_staleness = accepted_age}, now);
        compare(i, 0, read, naive);
        compare(i, i == 0 ? 1 : i, read, unchecked);
        const auto gap = duration(static_cast<std::int64_t>(5'000 + random_() % 10'000));
        if (now + gap + 3s < end) {
            at(now + gap, [this, i, end](instant later) { next_read(i, later, end); });
        }
    }

    /// Reads directly at a member, without a required position and without evidence.
    void compare(std::size_t i, std::size_t member, const pending_read& read, totals& into)
    {
        at(read.at + network_delay(i, member), [=, this, &into](instant arrived) {
            const member_answer answer = handle(
                member, member_call{{.operation = member_operation::statement, .term = 1, .statement = "list count-"}},
                arrived);
            count(into, read, answer->result, member != 0, arrived + network_delay(member, i));
        });
    }

    static void count(totals& into, const pending_read& read, const std::string& result, bool replica, instant now)
    {
        ++into.answered;
        into.by_replica += replica ? 1 : 0;
        into.latencies.push_back(now - read.at);
        const auto rows = nlohmann::json::parse(result);
        for (std::size_t i = 0; i < sites; ++i) {
            const std::string value = rows.value("count-" + std::to_string(i), "0");
            if (std::atoi(value.c_str()) < read.required[i]) {
                ++into.violations;
                return;
            }
        }
    }

    void answered(std::size_t i, const caller_answer& reply)
    {
        daemon& self = *daemons_[i];
        if (self.writes.erase(reply->handle) != 0) {
            if (!reply->failure) {
                self.confirmed[now_] = ++self.written;
                self.token = reply->session;
                read_own(i);
            }
            const auto gap = duration(static_cast<std::int64_t>(20'000 + random_() % 40'000));
            at(now_ + gap, [this, i](instant now) { write(i, now); });
            return;
        }
        const auto found = self.reads.find(reply->handle);
        const pending_read read = found->second;
        self.reads.erase(found);
        totals& into = read.session ? session : aged;
        if (reply->failure) {
            ++into.failed;
            return;
        }
        count(into, read, reply->result, reply->evidence == evidence_kind::replica, now_);
    }

    /// The session that has just written reads through another daemon, with its token and without a staleness bound.
    void read_own(std::size_t i)
    {
        const std::size_t other = (i + 1) % sites;
        pending_read read{.at = now_, .required = std::vector<int>(sites, 0), .session = true};
        read.required[i] = daemons_[i]->written;
        const session_token token = daemons_[i]->token;
        at(now_, [=, this](instant now) {
            const request_handle handle = ++numbers_;
            daemons_[other]->reads.emplace(handle, read);
            start_request(other, {.handle = handle, .statement = "list count-", .session = token}, now);
        });
    }

    user who_;
    scenario scenario_;
    std::mt19937_64 random_{seed};
    std::multimap<instant, action> events_;
    std::vector<standin::member_model> members_;
    std::vector<std::unique_ptr<daemon>> daemons_;
    std::uint64_t numbers_ = 0;
    instant now_{start};
};

void report(const char* variant, totals& result)
{
    const double share = result.answered == 0
                             ? 0
                             : 100.0 * static_cast<double>(result.by_replica) / static_cast<double>(result.answered);
    std::printf(
        "  %-34s %6llu answered %4llu failed  %5.1f%% by replicas  %5llu violations  p50 %6.2f ms  p99 %6.2f ms\n",
        variant, static_cast<unsigned long long>(result.answered), static_cast<unsigned long long>(result.failed),
        share, static_cast<unsigned long long>(result.violations), result.milliseconds(0.5), result.milliseconds(0.99));
}

} // namespace

int main(int count, char** arguments)
{
    const int seconds = count > 1 ? std::atoi(arguments[1]) : 30;
    std::printf("seed %llu, %d s of virtual time per row, accepted age 500 ms; target at lag 100 ms: 90%% by replicas, "
                "0 violations\n",
                static_cast<unsigned long long>(seed), seconds);
    for (const user& who : {user{.name = "kapot", .between = 1ms}, user{.name = "alba", .between = 1500us}}) {
        for (const duration lag : {duration(5ms), duration(100ms), duration(2s)}) {
            // Writes that only the primary has acknowledged are ahead of both replicas, which is the hardest case for
            // the check.
            for (const scenario& parameters : {scenario{.name = "both replicas lag, writes acknowledged by the primary",
                                              .first_lag = lag,
                                              .second_lag = lag,
                                              .evidence = evidence_kind::primary},
                                               scenario{.name = "one replica lags, writes acknowledged by a majority",
                                               .first_lag = lag,
                                               .second_lag = 5ms,
                                               .evidence = evidence_kind::majority}}) {
                simulation subject(who, parameters);
                subject.run(std::chrono::seconds(seconds));
                std::printf("%s, lag %lld ms, %s\n", who.name, static_cast<long long>(lag / 1ms), parameters.name);
                report("naive: always the primary", subject.naive);
                report("unchecked: nearest replica", subject.unchecked);
                report("ours: age 500 ms", subject.aged);
                report("ours: own booking, by token", subject.session);
            }
        }
    }
    return 0;
}
