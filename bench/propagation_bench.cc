// Time until an accepted change is in force on all daemons, and the cost to a daemon of keeping the document.
//
// Each daemon is a peer service with real sockets on loopback and a document replicator, each on a thread of its own.
// The platform is a model in this process whose calls take a fixed time. Takes about 90 s with at most 50 daemons.

#include "citronfall/bounded_ring.h"
#include "document/document_committer.h"
#include "document/document_replicator.h"
#include "document_codec/document_codec.h"
#include "peer/peer_service.h"
#include "standin/platform_model.h"

#include <algorithm>
#include <atomic>
#include <ctime>
#include <iostream>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace {

using namespace citronfall;

constexpr unsigned base_port = 24100;

/// The platform model behind a lock. Calls sleep on the calling thread, like calls over a network.
class slow_platform {
    template <class Action>
    auto locked(const Action& action)
    {
        const std::lock_guard guard(lock_);
        return action();
    }

public:
    kv_entry read()
    {
        return locked([this] { return model_.read("document"); });
    }

    bool lease(const platform_call& call)
    {
        return locked([&] { return model_.lease(call->key, call->holder, call->ttl, steady_now()); });
    }

    void write(kv_revision expected, const std::string& text)
    {
        locked([&] { return model_.compare_and_swap("document", expected, text); });
    }

    std::atomic<std::int64_t> delay_us{1000};
    std::atomic<bool> down{false};
    std::atomic<std::uint64_t> calls{0};

private:
    std::mutex lock_;
    standin::platform_model model_;
};

std::int64_t thread_cpu_us()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return time.tv_sec * 1'000'000 + time.tv_nsec / 1'000;
}

/// The document replicator and the peer service of one daemon, with their threads.
class bench_daemon {
public:
    bench_daemon(unsigned index, unsigned size, slow_platform& platform)
        : platform_(platform), random_(1000 + index), peer_random_(2000 + index), events_({.capacity = 16'384}),
          calls_({.capacity = 256}), orders_({.capacity = 16}),
          peers_({.self = peer_hello{{.daemon = "d" + std::to_string(index),
                                      .region = "r",
                                      .data_center = std::string(1, static_cast<char>('a' + index % 3)),
                                      .incarnation = 1}},
                  .listen = address(index),
                  .seeds = addresses(size),
                  .notify = [this](const peer_event& each) { static_cast<void>(events_.push(each)); },
                  .random =
                      [this](std::uint64_t below) {
                          return peer_random_() % below;
                      }}),
          replicator_(take(document_replicator::make(
              {.daemon = "d" + std::to_string(index),
               .region = "r",
               .peer =
                   [this](const outgoing_peer_message& command) {
                       static_cast<void>(peers_.commands().try_push(command));
                   },
               .platform = [this](const platform_call& call) { static_cast<void>(calls_.try_push(call)); },
               .check =
                   [this](const document_check_request& input) {
                       static_cast<void>(events_.try_push(document_codec::check(input, 1)));
                   },
               .watch = [this](const document_watch_command& order) { static_cast<void>(orders_.try_push(order)); },
               .candidates = [](const peer_candidates&) {},
               .put_in_force = [this](const operator_config&,
                                      instant) { in_force = replicator_.in_force()->state->revision; },
               .next_number = [this] { return ++number_; },
               .random = [this] { return random_(); },
               .wall_ms = [] { return std::int64_t{1}; },
               .count = [](std::string_view) {},
               .log = [](const std::string&) {},
               .unrecorded_changes =
                   [](document_part_id) {
                       return std::vector<std::string>{};
                   }})))
    {
        if (const auto opened = peers_.open(); !ok(opened)) {
            std::cerr << error_of(opened)->detail << '\n';
            std::exit(1);
        }
        threads_.emplace_back([this] {
            peers_.run();
            cpu_us += thread_cpu_us();
        });
        threads_.emplace_back([this] { decide(); });
        threads_.emplace_back([this] { serve_calls(); });
        threads_.emplace_back([this] { watch(); });
    }

    void stop()
    {
        stopped_ = true;
        events_.close();
        calls_.close();
        orders_.close();
        peers_.stop();
        for (std::thread& each : threads_) {
            each.join();
        }
    }

    [[nodiscard]] std::uint64_t bytes() const
    {
        const auto counters = peers_.counters();
        return counters.at("peer_bytes_sent_total") + counters.at("peer_bytes_received_total");
    }

    std::atomic<std::uint64_t> in_force{0};
    std::atomic<std::int64_t> cpu_us{0}; ///< CPU time of the peer and decision threads; set when they end.

private:
    using event = std::variant<peer_event, platform_event, document_check_result>;

    static std::string address(unsigned index) { return "127.0.0.1:" + std::to_string(base_port + index); }

    static std::vector<std::string> addresses(unsigned size)
    {
        std::vector<std::string> all;
        for (unsigned i = 0; i < size; ++i) {
            all.push_back(address(i));
        }
        return all;
    }

    void decide()
    {
        while (!stopped_) {
            const auto next = events_.pop_until(*replicator_.next());
            if (next) {
                std::visit([this](const auto& each) { static_cast<void>(replicator_.apply(each, steady_now())); },
                           *next);
            }
            replicator_.tick(steady_now());
        }
        cpu_us += thread_cpu_us();
    }

    void serve_calls()
    {
        while (const auto call = calls_.pop()) {
            ++platform_.calls;
            std::this_thread::sleep_for(std::chrono::microseconds(platform_.delay_us));
            platform_event_fields fields{.number = (*call)->number};
            if (platform_.down) {
                fields.failure = error_kind::outcome_unknown;
            } else if ((*call)->operation == platform_operation::read) {
                fields.entry = platform_.read();
            } else if ((*call)->operation == platform_operation::lease) {
                fields.lease_held = platform_.lease(*call);
            }
            static_cast<void>(events_.push(platform_event{std::move(fields)}));
        }
    }

    /// Emulates a watch: one platform call per 2 s, with the model polled every 5 ms instead of a waiting connection.
    void watch()
    {
        document_watch_command order;
        kv_revision seen = 0;
        instant counted;
        while (!orders_.closed()) {
            if (const auto changed = orders_.pop_until(steady_now() + std::chrono::milliseconds(5))) {
                order = *changed;
                continue;
            }
            if (!order->active || platform_.down) {
                continue;
            }
            if (steady_now() - counted >= std::chrono::seconds(2)) {
                counted = steady_now();
                ++platform_.calls;
            }
            const kv_entry entry = platform_.read();
            if (entry->revision > seen) {
                seen = entry->revision;
                std::this_thread::sleep_for(std::chrono::microseconds(platform_.delay_us));
                static_cast<void>(events_.push(document_codec::check(
                    document_check_request{{.entry = entry->revision, .text = entry->value}}, 1)));
            }
        }
    }

    slow_platform& platform_;
    std::mt19937_64 random_;
    std::mt19937_64 peer_random_;
    bounded_ring<event> events_;
    bounded_ring<platform_call> calls_;
    bounded_ring<document_watch_command> orders_;
    peer_service peers_;
    document_replicator replicator_;
    std::vector<std::thread> threads_;
    std::uint64_t number_ = 0;
    std::atomic<bool> stopped_{false};
};

document_state changed(const document_state& present, int value)
{
    std::map<document_part_id, document_section> sections{
        {document_part_id::routing,
         document_section{{.content = "{\"replica_wait_ms\":" + std::to_string(value) + "}"}}}};
    if (present->revision == 0) {
        sections[document_part_id::databases] = document_section{
            {.content = R"({"groups":[{"connections_per_member":20,"database":"d","members":[{"address":)"
                        R"("127.0.0.1:1","data_center":"a","name":"m"}],"name":"g","slots_per_member":3}]})"}};
        sections[document_part_id::tenants] = document_section{{.content = R"({"tenants":[{"name":"t"}]})"}};
    }
    return std::get<document_state>(apply_proposal(present, document_proposal{{.author = "bench",
                                                                               .reason = "bench",
                                                                               .time = 1,
                                                                               .nonce = std::to_string(value),
                                                                               .base = present,
                                                                               .sections = sections}}));
}

class bench_fleet {
public:
    explicit bench_fleet(unsigned size)
    {
        for (unsigned i = 0; i < size; ++i) {
            daemons_.push_back(std::make_unique<bench_daemon>(i, size, platform));
        }
    }

    /// Stops the threads of all daemons. Must be called before the fleet is destroyed.
    void stop()
    {
        for (const auto& each : daemons_) {
            each->stop();
        }
        daemons_.clear();
    }

    void accept(int value)
    {
        document_ = changed(document_, value);
        platform.write(platform.read()->revision, document_codec::encode(document_));
    }

    /// Milliseconds until the last accepted change is in force on all daemons; 10,000 on timeout.
    double wait()
    {
        const instant start = steady_now();
        while (steady_now() - start < std::chrono::seconds(10)) {
            if (std::all_of(daemons_.begin(), daemons_.end(),
                            [this](const auto& each) { return each->in_force >= document_->revision; })) {
                break;
            }
            std::this_thread::sleep_for(std::chrono::microseconds(500));
        }
        return std::chrono::duration<double, std::milli>(steady_now() - start).count();
    }

    [[nodiscard]] std::uint64_t bytes() const
    {
        std::uint64_t sum = 0;
        for (const auto& each : daemons_) {
            sum += each->bytes();
        }
        return sum;
    }

    /// Stops all daemons. Returns the CPU time of their peer and decision threads in microseconds.
    std::int64_t stop_and_cpu_us()
    {
        std::int64_t sum = 0;
        for (const auto& each : daemons_) {
            each->stop();
            sum += each->cpu_us;
        }
        daemons_.clear();
        return sum;
    }

    slow_platform platform;

private:
    std::vector<std::unique_ptr<bench_daemon>> daemons_;
    document_state document_;
};

void print_times(const char* name, std::vector<double> times)
{
    std::sort(times.begin(), times.end());
    std::cout << name << ": changes " << times.size() << ", p50 " << times[times.size() / 2] << " ms, p99 "
              << times[times.size() * 99 / 100] << " ms, target 5000 ms\n";
}

void measure_spread()
{
    bench_fleet fleet(7);
    int value = 1;
    fleet.accept(value++);
    fleet.wait();
    std::this_thread::sleep_for(std::chrono::seconds(12)); // Waits until the watcher leases are held.
    const auto measure = [&](const char* name, int count, bool goes_down) {
        std::vector<double> times;
        for (int i = 0; i < count; ++i) {
            fleet.accept(value++);
            if (goes_down) {
                // Takes the platform down once the watchers can have been notified.
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
                fleet.platform.down = true;
            }
            times.push_back(fleet.wait() + (goes_down ? 10 : 0));
            fleet.platform.down = false;
            std::this_thread::sleep_for(std::chrono::milliseconds(40));
        }
        print_times(name, std::move(times));
    };
    measure("7 daemons, platform healthy", 100, false);
    measure("7 daemons, platform down after acceptance", 50, true);
    fleet.platform.delay_us = 500'000;
    measure("7 daemons, platform at 500 ms per call", 20, false);
    fleet.stop();
}

struct cost {
    double daemons;
    double calls;
    double bytes;
    double cpu_percent;
};

cost measure_cost(unsigned size)
{
    constexpr double settle = 6;
    constexpr double length = 8;
    const instant start = steady_now();
    bench_fleet fleet(size);
    fleet.accept(1);
    fleet.wait();
    std::this_thread::sleep_for(std::chrono::duration<double>(settle));
    const std::uint64_t calls = fleet.platform.calls;
    const std::uint64_t bytes = fleet.bytes();
    const instant begin = steady_now();
    for (int i = 0; i < 2; ++i) { // One change every 4 s: 21,600 a day.
        fleet.accept(2 + i);
        std::this_thread::sleep_for(std::chrono::duration<double>(length / 2));
    }
    const double seconds = std::chrono::duration<double>(steady_now() - begin).count();
    cost seen{.daemons = static_cast<double>(size),
              .calls = static_cast<double>(fleet.platform.calls - calls) / seconds,
              .bytes = static_cast<double>(fleet.bytes() - bytes) / seconds / size,
              .cpu_percent = 0};
    const double life = std::chrono::duration<double>(steady_now() - start).count();
    seen.cpu_percent = static_cast<double>(fleet.stop_and_cpu_us()) / 1e6 / life / size * 100;
    std::cout << size << " daemons: platform calls/s " << seen.calls << " in total, control bytes/s per daemon "
              << seen.bytes << " (sent and received; target 7000), processor " << seen.cpu_percent
              << "% of a core per daemon, start included (target 2)\n";
    return seen;
}

} // namespace

int main()
{
    measure_spread();
    std::vector<cost> costs;
    for (const unsigned size : {7U, 20U, 50U}) {
        costs.push_back(measure_cost(size));
    }
    const cost& first = costs.front();
    const cost& last = costs.back();
    const double more = last.daemons - first.daemons;
    std::cout << "increase per daemon: platform calls/s " << (last.calls - first.calls) / more
              << ", bytes/s per daemon " << (last.bytes - first.bytes) / more << ", processor "
              << (last.cpu_percent - first.cpu_percent) / more << "%\n";
    return 0;
}
