#include "citronfall/bounded_ring.h"
#include "citronfall/error_table.h"
#include "citronfall/term_history.h"

#include <set>
#include <string_view>
#include <thread>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;

const term_history history{{.starts = {term_start{{.term = 1, .start = 1}}, term_start{{.term = 3, .start = 11}}}}};

} // namespace

TEST_CASE("positions are compared across terms", "[core]")
{
    struct row {
        log_position position;
        log_index last;
        bool contained;
        bool superseded;
        log_position clamped;
    };
    const row rows[] = {
        {log_position{{.term = 0, .index = 0}}, 0, true, false, log_position{{.term = 0, .index = 0}}},
        {log_position{{.term = 1, .index = 10}}, 20, true, false, log_position{{.term = 1, .index = 10}}},
        {log_position{{.term = 1, .index = 11}}, 20, false, true, log_position{{.term = 1, .index = 10}}},
        {log_position{{.term = 2, .index = 15}}, 20, false, true, log_position{{.term = 1, .index = 10}}},
        {log_position{{.term = 3, .index = 15}}, 20, true, false, log_position{{.term = 3, .index = 15}}},
        {log_position{{.term = 3, .index = 21}}, 20, false, false, log_position{{.term = 3, .index = 21}}},
        {log_position{{.term = 4, .index = 30}}, 20, false, false, log_position{{.term = 4, .index = 30}}},
    };
    for (const row& each : rows) {
        INFO(each.position->term << "," << each.position->index);
        CHECK(history.contains(each.position, each.last) == each.contained);
        CHECK(history.superseded(each.position) == each.superseded);
        CHECK(history.clamp(each.position) == each.clamped);
    }
}

TEST_CASE("each error kind has one row with a unique name and a consistent status", "[core]")
{
    std::set<std::string_view> names;
    for (const error_row& row : error_table()) {
        CHECK(&error_row_for(row.kind) == &row);
        CHECK(names.insert(row.name).second);
        CHECK(row.http_status >= 400);
        CHECK_FALSE(row.text.empty());
        // A 4xx status would tell the caller that the statement was not executed.
        CHECK_FALSE((row.effect == outcome::unknown && row.http_status < 500));
    }
    CHECK(names.size() == error_kind_count);
}

TEST_CASE("a ring is bounded in bytes, and an element without bytes passes", "[core]")
{
    // Guards against a ring of few long elements that takes more memory than planned, and against one whose bound keeps
    // out the events that make it empty again.
    bounded_ring<std::string> ring(
        {.capacity = 8, .size_of = [](const std::string& each) { return each.size(); }, .max_bytes = 10});
    CHECK(ring.try_push(std::string(20, 'x'))); // Longer than the bound, and alone.
    CHECK_FALSE(ring.try_push("y"));
    CHECK(ring.try_push(""));
    CHECK(ring.bytes() == 20);
    CHECK(ring.try_pop()->size() == 20);
    CHECK(ring.try_push(std::string(6, 'x')));
    std::string refused(5, 'z');
    CHECK_FALSE(ring.try_move(refused));
    CHECK(refused.size() == 5);
    CHECK(ring.try_push(std::string(4, 'x')));
    CHECK(ring.bytes() == 10);
    while (ring.try_pop()) {
    }
    CHECK(ring.bytes() == 0);
}

TEST_CASE("a full ring rejects elements and a closed ring can be drained", "[core]")
{
    bounded_ring<int> ring({.capacity = 2});
    CHECK(ring.try_push(1));
    CHECK(ring.try_push(2));
    CHECK_FALSE(ring.try_push(3));
    ring.close();
    CHECK_FALSE(ring.push(4));
    CHECK(ring.pop() == 1);
    CHECK(ring.pop() == 2);
    CHECK_FALSE(ring.pop().has_value());
}

TEST_CASE("a ring passes elements between threads in order and without loss", "[core]")
{
    bounded_ring<int> ring({.capacity = 3});
    std::thread producer([&ring] {
        for (int i = 0; i < 10'000; ++i) {
            if (!ring.push(i)) {
                return;
            }
        }
        ring.close();
    });
    int expected = 0;
    while (const auto element = ring.pop()) {
        if (*element != expected) {
            break;
        }
        ++expected;
    }
    ring.close();
    producer.join();
    CHECK(expected == 10'000);
}
