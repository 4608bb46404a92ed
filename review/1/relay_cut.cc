// Transactions that one daemon relays to another, over a link that loses one direction for a second now and then.

#include "../common/deployment.h"
#include "../common/desk.h"
#include "../common/peer_link.h"
#include "../common/verdict.h"
#include "core/boot_clock.h"
#include "standin/free_port.h"

#include <atomic>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>
#include <thread>

namespace {

using namespace std::chrono_literals;
using citronfall::boot_now;
using citronfall::soak::recorded_operation;

constexpr std::size_t max_connections = 8; ///< Of a member; four daemons do not each hold some of so few.
constexpr std::size_t desks = 6;
constexpr auto run_time = 40s;
constexpr auto direct_time = 4s;  ///< Until the daemons have connected to each other.
constexpr auto link_time = 8s;    ///< Until a daemon has connected through the proxy.
constexpr auto interval = 4s;     ///< From one cut to the next.
constexpr auto cut_time = 1100ms; ///< Length of a cut.

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: relay_cut PROGRAM FOLDER RECORD\n";
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::ofstream record(argv[3]);
    const auto cannot_run = [&record](const char* why) {
        record << "could not run: " << why << '\n';
        return 2;
    };
    // Three of the four hold the connections; the first relays its statements to the last.
    constexpr std::size_t relaying = 0;
    constexpr std::size_t holding = 3;
    review::deployment system(
        {.program = argv[1],
         .folder = argv[2],
         .daemons = {"frontend-ahmedabad-2", "frontend-rajkot-2", "frontend-vadodara-1", "frontend-vadodara-2"},
         .data_centers = {"ahmedabad", "rajkot", "vadodara", "vadodara"},
         .max_connections = max_connections});
    const std::string link_address = citronfall::standin::free_address();
    system.set_seeds(relaying, {link_address});
    for (std::size_t i = 0; i < 4; ++i) {
        system.start(i);
    }
    for (std::size_t i = 0; i < 4; ++i) {
        if (!system.await_service(i, 15s)) {
            return cannot_run("a daemon does not serve");
        }
    }
    std::this_thread::sleep_for(direct_time);
    // The link is a proxy at the address that the settings name as a seed. The daemon connects there once it listens,
    // and uses the newest connection to a peer.
    std::unique_ptr<review::peer_link> link;
    system.on_loop(
        [&] { link = std::make_unique<review::peer_link>(system.loop().loop(), link_address, system.peers(holding)); });
    std::this_thread::sleep_for(link_time);
    std::size_t connections = 0;
    system.on_loop([&] { connections = link->open_connections(); });
    if (connections != 1) {
        return cannot_run("the daemons do not use the proxy");
    }
    std::atomic<bool> stop{false};
    std::mutex mutex;
    std::vector<recorded_operation> history;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < desks; ++i) {
        threads.emplace_back([&, i] {
            auto seen = review::desk("desk" + std::to_string(i), system.callers(relaying), i + 1).run(stop);
            const std::lock_guard lock(mutex);
            std::move(seen.begin(), seen.end(), std::back_inserter(history));
        });
    }
    const auto end = boot_now() + run_time;
    std::size_t cuts = 0;
    while (boot_now() < end) {
        std::this_thread::sleep_for(interval - cut_time);
        if (review::trouble()) {
            ++cuts;
            record << "cut at_ms=" << boot_now().time_since_epoch() / 1ms << '\n';
            system.on_loop([&] { link->hold_answers(true); });
        }
        std::this_thread::sleep_for(cut_time);
        system.on_loop([&] { link->hold_answers(false); });
    }
    std::this_thread::sleep_for(1s);
    stop = true;
    for (std::thread& each : threads) {
        each.join();
    }
    std::vector<std::string> broken;
    system.on_loop([&] {
        broken = review::broken_rules(history, system.platform().service());
        review::write_record(record, history, system.platform().service(), broken);
        link.reset();
    });
    std::cout << "cuts=" << cuts << " transactions=" << history.size() << " committed=" << review::committed(history)
              << " broken=" << broken.size() << '\n';
    for (const std::string& each : broken) {
        std::cout << each << '\n';
    }
    if (review::committed(history) < 50) {
        return cannot_run("too few transactions were served");
    }
    return broken.empty() ? 0 : 1;
}
