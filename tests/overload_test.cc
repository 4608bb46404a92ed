#include "overload/byte_ledger.h"
#include "overload/descriptor_plan.h"
#include "overload/memory_plan.h"
#include "overload/session_eviction.h"

#include "gateway/output_queue.h"
#include "peer/peer_frame.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mebibyte = 1024 * 1024;
constexpr instant start{std::chrono::seconds(1000)};

/// Memory and descriptors of the smallest and the largest instances that the pages name.
const std::vector<std::size_t> machine_memory_mb{160, 512};
const std::vector<std::uint32_t> machine_descriptors{4300, 8192};

} // namespace

TEST_CASE("the holder of the most bytes gives way, and no other", "[overload]")
{
    // Guards against a crowd that makes the daemon close the connections of ordinary callers.
    byte_ledger ledger(10 * mebibyte);
    for (byte_ledger::holder ordinary = 1; ordinary <= 1000; ++ordinary) {
        ledger.set(ordinary, 300);
    }
    std::vector<byte_ledger::holder> closed;
    for (byte_ledger::holder rude = 2001; rude <= 2100; ++rude) {
        ledger.set(rude, mebibyte);
        while (const auto worst = ledger.worst_offender()) {
            closed.push_back(*worst);
            ledger.set(*worst, 0);
        }
        CHECK(ledger.total() <= ledger.limit());
    }
    CHECK(closed.size() == 91);
    CHECK(std::all_of(closed.begin(), closed.end(), [](byte_ledger::holder each) { return each > 2000; }));
}

TEST_CASE("a limit that only small holders exceed is kept as well", "[overload]")
{
    byte_ledger ledger(1000);
    for (byte_ledger::holder each = 1; each <= 10; ++each) {
        ledger.set(each, 90 + each);
    }
    CHECK_FALSE(ledger.worst_offender());
    ledger.set(11, 200);
    CHECK(ledger.worst_offender() == 11);
}

TEST_CASE("a ledger's total is the sum of its charges", "[overload]")
{
    constexpr unsigned seed = 11;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    byte_ledger ledger(50 * mebibyte);
    std::map<byte_ledger::holder, std::size_t> expected;
    for (int step = 0; step < 20'000; ++step) {
        const byte_ledger::holder holder = random() % 50;
        const std::size_t bytes = random() % 3 == 0 ? 0 : random() % (2 * mebibyte);
        ledger.set(holder, bytes);
        expected[holder] = bytes;
        std::size_t sum = 0;
        std::size_t largest = 0;
        for (const auto& [each, held] : expected) {
            sum += held;
            largest = std::max(largest, held);
        }
        REQUIRE(ledger.total() == sum);
        const auto worst = ledger.worst_offender();
        REQUIRE(worst.has_value() == (sum > ledger.limit()));
        REQUIRE((!worst || expected.at(*worst) == largest));
    }
}

TEST_CASE("the parts of the memory leave room for the program and bear a message of the longest length", "[overload]")
{
    for (const std::size_t machine : machine_memory_mb) {
        const memory_plan plan = plan_memory(machine);
        const std::size_t sum = plan->caller_input + plan->caller_output + plan->session_state + plan->member_answers +
                                plan->peer_input + plan->peer_output + plan->events + plan->replies;
        CHECK(sum + 32 * mebibyte <= machine * mebibyte);
        for (const std::size_t part : {plan->caller_output, plan->session_state, plan->member_answers, plan->peer_input,
                                       plan->peer_output, plan->events, plan->replies}) {
            CHECK(part > 2 * mebibyte);
        }
        CHECK(plan->caller_input > 8 * mebibyte);
    }
    CHECK(plan_memory(0)->caller_input == 0);
}

TEST_CASE("the shares of the descriptors leave some for files", "[overload]")
{
    for (const std::uint32_t machine : machine_descriptors) {
        const descriptor_plan plan = plan_descriptors(machine);
        const std::size_t sum = plan->callers + plan->peers + plan->members + 2 * plan->monitoring;
        CHECK(sum + 200 <= machine);
        CHECK(plan->callers >= machine / 2);
        CHECK(plan->peers >= 256);
    }
    for (std::uint32_t few = 64; few < 1000; ++few) {
        const descriptor_plan plan = plan_descriptors(few);
        REQUIRE(plan->callers + plan->peers + plan->members + 2 * plan->monitoring < few);
    }
}

TEST_CASE("a new connection replaces the longest silent one, then the longest idle session", "[overload]")
{
    const connection_use silent{{.number = 1, .used_at = start}};
    const connection_use more_silent{{.number = 2, .used_at = start - 1s}};
    const connection_use idle{{.number = 3, .started = true, .used_at = start - 60s}};
    const connection_use busy{{.number = 4, .started = true, .busy = true, .used_at = start - 90s}};
    const connection_use used{{.number = 5, .started = true, .used_at = start + 4500ms}};
    const connection_use receiving{{.number = 7, .started = true, .receiving = true, .used_at = start - 70s}};
    const instant now = start + 5s;
    CHECK(connection_to_evict({silent, idle, busy, more_silent, used}, now) == 2);
    CHECK(connection_to_evict({busy, used, receiving, idle}, now) == 3);
    CHECK(connection_to_evict({busy, used, receiving}, now) == 7);
    CHECK_FALSE(connection_to_evict({busy, used}, now)); // Their callers would lose a statement.
    CHECK_FALSE(connection_to_evict({connection_use{{.number = 6, .used_at = now}}}, now));
    CHECK_FALSE(connection_to_evict({}, now));
}

TEST_CASE("bytes to send leave in the order in which they came", "[overload]")
{
    constexpr unsigned seed = 3;
    INFO("seed " << seed);
    std::mt19937 random(seed);
    output_queue queue;
    std::string expected;
    std::string sent;
    for (int step = 0; step < 2000; ++step) {
        const std::string bytes(random() % 5 == 0 ? random() % 40'000 : random() % 100,
                                static_cast<char>('a' + step % 26));
        queue.add(bytes);
        expected += bytes;
        while (!queue.front().empty() && random() % 3 != 0) {
            const std::size_t count = 1 + random() % queue.front().size();
            sent += queue.front().substr(0, count);
            queue.remove(count);
        }
        REQUIRE(queue.size() == expected.size() - sent.size());
    }
    while (!queue.empty()) {
        sent += queue.front();
        queue.remove(queue.front().size());
    }
    CHECK(sent == expected);
}

TEST_CASE("frame headers are unchanged after encoding and decoding", "[overload]")
{
    const auto bytes_of = [](const std::string& text) {
        std::array<std::uint8_t, frame_header::size> bytes{};
        std::copy(text.begin(), text.end(), bytes.begin());
        return bytes;
    };
    for (const frame_kind kind : {frame_kind::message, frame_kind::piece, frame_kind::last_piece}) {
        for (const std::size_t length : {std::size_t{0}, std::size_t{1}, mebibyte, (std::size_t{1} << 30) - 1}) {
            const frame_header header{.kind = kind, .length = length};
            CHECK(decode_frame_header(bytes_of(encode(header))) == header);
        }
    }
    CHECK_FALSE(decode_frame_header({0, 0, 0, 0x40}));
}
