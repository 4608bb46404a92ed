#include "dispatch/connection_setup.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

using namespace citronfall;

namespace {

constexpr std::size_t longest_kept = 64 * 1024;

/// What a member holds for a connection, as the statements sent to it tell.
struct member_side {
    std::map<std::string, prepared_shape> prepared;
    session_values values;

    void run(const member_statement& statement)
    {
        if (std::holds_alternative<reset_connection>(statement)) {
            prepared.clear();
            values.clear();
        } else if (const auto* value = std::get_if<set_value>(&statement)) {
            values[value->name] = value->value;
        } else if (const auto* shape = std::get_if<prepare_statement>(&statement)) {
            CHECK_FALSE(prepared.contains(shape->name));
            prepared[shape->name] = shape->shape;
        } else if (const auto* dropped = std::get_if<deallocate_statement>(&statement)) {
            CHECK(prepared.erase(dropped->name) == 1);
        }
    }
};

void set_up(pooled_connection& connection, member_side& member, const session_values& values,
            const std::optional<prepared_shape>& shape)
{
    for (const member_statement& each : setup_statements(connection, values, shape)) {
        member.run(each);
    }
    apply_setup(connection, values, shape);
}

prepared_shape shape_of_length(std::size_t length, int number)
{
    std::string text = "q" + std::to_string(number);
    text.resize(std::max(text.size(), length), 'x');
    return prepared_shape{{.shape = std::move(text)}};
}

} // namespace

TEST_CASE("a connection stays bounded, and its names stand for what was prepared", "[connection_setup]")
{
    // Guards against shapes that are kept by number only (review/10), and against a name that runs another shape after
    // the shapes before it were dropped.
    for (const std::uint32_t seed : {1U, 2U, 3U, 4U, 5U}) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        pooled_connection connection;
        member_side member;
        for (int i = 0; i < 4000; ++i) {
            connection.transaction = random() % 8 < 5 ? transaction_state::open : transaction_state::none;
            const std::size_t length = random() % 50 == 0 ? 2 * longest_kept : random() % 600;
            const prepared_shape shape = shape_of_length(length, static_cast<int>(random() % 400));
            const session_values values = connection.transaction == transaction_state::none && random() % 4 == 0
                                              ? session_values{{"v" + std::to_string(random() % 3), "x"}}
                                              : connection.values;
            set_up(connection, member, values, shape);
            REQUIRE(connection.prepared.contains(shape));
            REQUIRE(member.prepared.at(connection.prepared.at(shape)) == shape);
            REQUIRE(member.prepared.size() == connection.prepared.size());
            REQUIRE(member.values == values);
            std::size_t bytes = 0;
            for (const auto& [each, name] : connection.prepared) {
                bytes += each->shape.size();
            }
            REQUIRE(bytes == connection.prepared_bytes);
            REQUIRE((bytes <= longest_kept || connection.prepared.size() == 1));
        }
    }
}

TEST_CASE("a transaction drops shapes one by one, because a reset would end it", "[connection_setup]")
{
    pooled_connection connection;
    member_side member;
    connection.transaction = transaction_state::open;
    set_up(connection, member, {}, shape_of_length(longest_kept, 1));
    const auto statements = setup_statements(connection, {}, shape_of_length(10, 2));
    REQUIRE(statements.size() == 2);
    CHECK(std::holds_alternative<deallocate_statement>(statements.front()));
    CHECK(std::holds_alternative<prepare_statement>(statements.back()));
    connection.transaction = transaction_state::none;
    CHECK(std::holds_alternative<reset_connection>(setup_statements(connection, {}, shape_of_length(10, 2)).front()));
}

TEST_CASE("short shapes stay prepared", "[connection_setup]")
{
    // Guards against a bound in bytes that sends ordinary shapes again and again.
    pooled_connection connection;
    member_side member;
    for (int i = 0; i < 200; ++i) {
        set_up(connection, member, {}, shape_of_length(200, i));
    }
    CHECK(connection.prepared.size() == 200);
    CHECK(setup_statements(connection, {}, shape_of_length(200, 0)).empty());
}
