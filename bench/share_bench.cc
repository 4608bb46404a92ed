// Time until connections have moved to the daemon with demand, at both users' sizes, compared with a fixed split.

#include "connection_share/connection_share_table.h"
#include "kv_service/connection_share_ledger_codec.h"
#include "load/virtual_time.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t daemon_count = 7;
const member_key member{{.group = "g", .member = "a"}};

/// Seven daemons with share tables. Messages and platform calls take a fixed time and are never lost.
class bench_fleet {
public:
    bench_fleet(std::uint32_t limit, duration latency, duration connect_time)
        : limit_(limit), latency_(latency), connect_time_(connect_time)
    {
        rules_ = operator_config{
            {.groups = {{"g", group_config{{.name = "g",
                                            .members = {member_config{{.name = "a", .address = "127.0.0.1:1"}}},
                                            .connections_per_member = limit,
                                            .slots_per_member = 3}}}}}};
        for (std::size_t i = 0; i < daemon_count; ++i) {
            tables_.push_back(make(i));
        }
        for (std::size_t i = 0; i < daemon_count; ++i) {
            for (std::size_t j = 0; j < daemon_count; ++j) {
                if (i != j) {
                    tables_[i]->apply(peer_event{{.from = name(j),
                                                  .kind = peer_event_kind::connected,
                                                  .message = peer_hello{{.daemon = name(j), .incarnation = 1}}}},
                                      time_.now());
                }
            }
            tick_daemon(i);
        }
    }

    void demand(std::size_t busy)
    {
        std::fill(needed_.begin(), needed_.end(), 1);
        needed_[busy] = limit_;
    }

    /// Time until the daemon has opened all connections that the others can spare; at most 5 s.
    duration time_to_move(std::size_t busy)
    {
        const instant start = time_.now();
        // Every other daemon keeps one connection for status calls and one for statements.
        const std::uint32_t spare = limit_ - 2 * (daemon_count - 1);
        while (open_[busy] < spare && time_.now() - start < 5s) {
            run(1ms);
        }
        return time_.now() - start;
    }

    void run(duration length)
    {
        time_.run_until(time_.now() + length, [this] {
            std::uint32_t held = 0;
            std::uint32_t open = 0;
            for (std::size_t i = 0; i < daemon_count; ++i) {
                held += tables_[i]->held(member);
                open += open_[i] + opening_[i];
            }
            max_sum_ = std::max({max_sum_, held, open});
        });
    }

    [[nodiscard]] std::uint32_t max_sum() const { return max_sum_; }
    [[nodiscard]] std::uint64_t messages() const { return messages_; }

private:
    static std::string name(std::size_t index) { return "d" + std::to_string(index); }

    std::unique_ptr<connection_share_table> make(std::size_t index)
    {
        auto made = connection_share_table::make(
            {.daemon = name(index),
             .incarnation = 1,
             .config = [this]() -> const operator_config& { return rules_; },
             .needed = [this, index](const member_key&) { return needed_[index]; },
             .open = [this, index](const member_key&) { return open_[index] + opening_[index]; },
             .close_idle =
                 [this, index](const member_key&, std::uint32_t count) {
                     const std::uint32_t closed = std::min(count, open_[index]);
                     open_[index] -= closed;
                     return closed;
                 },
             .close_all = [this, index](const std::string&) { open_[index] = 0; },
             .platform =
                 [this, index](const platform_call& call) {
                     time_.after(latency_ * 2, [=, this] { serve(index, call); });
                 },
             .peer = [this, index](const outgoing_peer_message& command) { send(index, command); },
             .encode = connection_share_ledger_codec::encode,
             .decode = connection_share_ledger_codec::decode,
             .next_number = [this] { return ++numbers_; },
             .count =
                 [](std::string_view) {
                 }});
        if (!ok(made)) {
            std::abort();
        }
        return std::make_unique<connection_share_table>(take(std::move(made)));
    }

    void serve(std::size_t index, const platform_call& call)
    {
        platform_event_fields fields{.number = call->number, .lease_held = true};
        if (call->operation == platform_operation::compare_and_swap && call->expected != ledger_->revision) {
            fields.failure = error_kind::conflict;
        } else if (call->operation == platform_operation::compare_and_swap) {
            ledger_ = kv_entry{{.revision = ledger_->revision + 1, .value = call->value}};
        }
        fields.entry = ledger_;
        tables_[index]->apply(platform_event{fields}, time_.now());
    }

    void send(std::size_t from, const outgoing_peer_message& command)
    {
        for (std::size_t to = 0; to < daemon_count; ++to) {
            if (to != from && (command->to.empty() || command->to == name(to))) {
                ++messages_;
                time_.after(latency_, [this, from, to, message = command->message] {
                    tables_[to]->apply(peer_event{{.from = name(from), .message = message}}, time_.now());
                });
            }
        }
    }

    void tick_daemon(std::size_t index)
    {
        tables_[index]->tick(time_.now());
        const std::uint32_t wanted = std::min(tables_[index]->held(member), std::max(needed_[index], 2U));
        while (open_[index] + opening_[index] < wanted) {
            ++opening_[index];
            time_.after(connect_time_, [this, index] {
                --opening_[index];
                ++open_[index];
            });
        }
        time_.after(5ms, [this, index] { tick_daemon(index); });
    }

    std::uint32_t limit_;
    duration latency_;
    duration connect_time_;
    load::virtual_time time_;
    operator_config rules_;
    std::vector<std::unique_ptr<connection_share_table>> tables_;
    std::vector<std::uint32_t> needed_ = std::vector<std::uint32_t>(daemon_count, 1);
    std::vector<std::uint32_t> open_ = std::vector<std::uint32_t>(daemon_count, 0);
    std::vector<std::uint32_t> opening_ = std::vector<std::uint32_t>(daemon_count, 0);
    kv_entry ledger_;
    std::uint64_t numbers_ = 0;
    std::uint64_t messages_ = 0;
    std::uint32_t max_sum_ = 0;
};

} // namespace

int main()
{
    std::printf("%-5s | %9s %9s | %10s %12s | %s\n", "limit", "mean", "longest", "connections", "fixed split",
                "max sum");
    for (const auto& [limit, latency, connect_time] :
         {std::tuple(20U, duration(1000), duration(10'000)), std::tuple(35U, duration(1500), duration(30'000))}) {
        bench_fleet fleet(limit, latency, connect_time);
        fleet.run(10s);
        duration sum{};
        duration longest{};
        constexpr int moves = 28;
        for (int i = 0; i < moves; ++i) {
            const auto busy = static_cast<std::size_t>(i) % daemon_count;
            fleet.demand(busy);
            const duration taken = fleet.time_to_move(busy);
            sum += taken;
            longest = std::max(longest, taken);
            fleet.run(500ms);
        }
        std::printf("%-5u | %7.0fms %7.0fms | %10zu %12zu | %u\n", limit,
                    std::chrono::duration<double, std::milli>(sum).count() / moves,
                    std::chrono::duration<double, std::milli>(longest).count(), limit - 2 * (daemon_count - 1),
                    limit / daemon_count, fleet.max_sum());
    }
    return 0;
}
