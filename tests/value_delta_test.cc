#include "delta/value_delta.h"
#include "mirror/item_delta_cache.h"
#include "mirror/mirror_table.h"
#include "peer/peer_codec.h"
#include "support/replica_fleet.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

using namespace citronfall;

namespace {

constexpr std::size_t max_size = 4 * 1024 * 1024;

std::string random_bytes(std::size_t length, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::string bytes(length, '\0');
    for (char& each : bytes) {
        each = static_cast<char>(random());
    }
    return bytes;
}

std::string applied(const std::string& base, const std::string& delta)
{
    const auto value = apply_value_delta(base, delta, max_size);
    REQUIRE(ok(value));
    return value_of(value);
}

} // namespace

TEST_CASE("a value is rebuilt from its base and the difference", "[delta]")
{
    const std::string document = large_document(1, 500);
    const std::string inserted = document.substr(0, 4000) + large_document(2, 3) + document.substr(4000);
    const std::string removed = document.substr(0, 3000) + document.substr(60'000);
    const std::string moved = document.substr(50'000) + document.substr(0, 50'000);
    for (const std::string& value : {document, inserted, removed, moved, std::string{}, std::string("x"),
                                     random_bytes(100'000, 1), std::string(1'000'000, 'a')}) {
        CHECK(applied(document, make_value_delta(document, value)) == value);
        CHECK(applied({}, make_value_delta({}, value)) == value);
    }
}

TEST_CASE("a difference is about as large as what changed", "[delta]")
{
    // Otherwise each change of a configuration of 1 MB fills the links to all followers.
    const std::string document = large_document(1, 4500);
    const std::string more = large_document(2, 4800);
    CHECK(make_value_delta(document, more).size() < (more.size() - document.size()) / 2);
    CHECK(make_value_delta(document, large_document(2, 4500)).size() < 1000);
    CHECK(make_value_delta({}, document).size() < document.size() / 5);
}

TEST_CASE("a difference applied to another base or damaged never gives a wrong value", "[delta]")
{
    const std::string base = large_document(1, 300);
    const std::string value = large_document(2, 310);
    const std::string delta = make_value_delta(base, value);
    for (const std::string& other : {std::string{}, large_document(3, 300), base.substr(1), random_bytes(50'000, 2)}) {
        const auto read = apply_value_delta(other, delta, max_size);
        CHECK((!ok(read) || value_of(read) == value));
    }
    for (std::size_t i = 0; i < delta.size(); ++i) {
        std::string damaged = delta;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x10);
        const auto read = apply_value_delta(base, damaged, max_size);
        CHECK((!ok(read) || value_of(read) == value));
        CHECK_FALSE(ok(apply_value_delta(base, delta.substr(0, i), max_size)));
    }
}

TEST_CASE("a difference that claims a huge value is refused", "[delta]")
{
    // A few bytes would otherwise allocate the memory of the whole instance.
    const std::string huge = make_value_delta({}, std::string(8 * 1024 * 1024, 'a'));
    CHECK(huge.size() < 4096);
    CHECK_FALSE(ok(apply_value_delta({}, huge, max_size)));
}

TEST_CASE("a table keeps replaced large values within its limit and small ones not at all", "[delta]")
{
    mirror_table table([](const store_item&, store_era) {});
    const auto write = [&table](const std::string& key, std::size_t size, kv_revision revision) {
        table.apply_changes({store_item{{.key = key, .value = std::string(size, 'x'), .revision = revision}}},
                            {.revision = revision});
    };
    write("small", 100, 1);
    write("small", 100, 2);
    CHECK(table.value_at("small", 1) == nullptr);
    CHECK(table.value_at("small", 2) != nullptr);
    for (kv_revision revision = 3; revision < 9; ++revision) {
        write("large", 1024 * 1024, revision);
    }
    CHECK(table.value_at("large", 8) != nullptr);
    CHECK(table.value_at("large", 7) != nullptr);
    CHECK(table.value_at("large", 6) != nullptr);
    CHECK(table.value_at("large", 5) == nullptr);
}

TEST_CASE("an item is encoded from the value that the peer holds, or from none if that is unknown", "[delta]")
{
    mirror_table table([](const store_item&, store_era) {});
    const std::string before = large_document(1, 300);
    const std::string after = large_document(2, 310);
    table.apply_changes({store_item{{.key = "c", .value = before, .revision = 4}}}, {.revision = 4});
    table.apply_changes({store_item{{.key = "c", .value = after, .revision = 9}}}, {.revision = 9});
    item_delta_cache cache;
    const item_delta from_held = cache.encode(table, table.items().at("c"), 4);
    CHECK(from_held->base_revision == 4);
    CHECK(applied(before, from_held->delta) == after);
    CHECK(cache.encode(table, table.items().at("c"), 4) == from_held);
    const item_delta from_unknown = cache.encode(table, table.items().at("c"), 5);
    CHECK(from_unknown->base_revision == 0);
    CHECK(applied({}, from_unknown->delta) == after);
}

TEST_CASE("requests and changes with differences survive the wire", "[delta]")
{
    const store_request request{{.range = 1,
                                 .after = {.era = 2, .revision = 9},
                                 .accepts_deltas = true,
                                 .known_values = {known_value{{.key = "op/config", .revision = 8}}}}};
    const store_changes changes{
        {.range = 1,
         .at = {.era = 2, .revision = 11},
         .complete = true,
         .deltas = {item_delta{
             {.key = "op/config", .revision = 10, .lease = 3, .base_revision = 8, .delta = std::string("a\0b", 3)}}}}};
    for (const peer_message& message : std::vector<peer_message>{request, changes}) {
        const auto decoded = peer_codec::decode(peer_codec::encode(message));
        REQUIRE(ok(decoded));
        CHECK(value_of(decoded) == message);
    }
}
