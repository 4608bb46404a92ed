#include "json/json_object_reader.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace citronfall;

TEST_CASE("one pass over an object reports every problem with its path", "[json]")
{
    // If only the first problem were reported, an operator would need one attempt for each problem.
    const auto source = nlohmann::json::parse(R"({"count": 11, "flag": "yes", "list": [{"name": 1}, 2], "extra": {}})");
    std::vector<json_problem> problems;
    json_object_reader root(source, "", problems);
    CHECK(root.integer("count", {.min = 1, .max = 10, .fallback = 5}) == 5);
    CHECK_FALSE(root.boolean("flag", false));
    CHECK(root.text("kind", {.choices = {"a", "b"}}).empty());
    root.objects("list", [](json_object_reader& each) { CHECK(each.text("name", {}).empty()); });
    root.report_unread_keys();
    std::vector<std::string> lines;
    for (const json_problem& each : problems) {
        lines.push_back(each.text());
    }
    CHECK(lines == std::vector<std::string>{
                       "count: found 11, allowed: an integer from 1 to 10",
                       "flag: found \"yes\", allowed: true or false",
                       "kind: found nothing, allowed: one of a, b",
                       "list[0].name: found 1, allowed: a string that is not empty",
                       "list[1]: found 2, allowed: an object",
                       "list[1].name: found nothing, allowed: a string that is not empty",
                       "extra: found an unknown key, allowed: the keys count, flag, kind, list",
                   });
}

TEST_CASE("integers beyond the range of the type are refused instead of wrapping around", "[json]")
{
    const auto source =
        nlohmann::json::parse(R"({"a": 18446744073709551615, "b": -1, "c": 1.5, "d": 9223372036854775807})");
    std::vector<json_problem> problems;
    json_object_reader root(source, "", problems);
    for (const char* key : {"a", "b", "c"}) {
        CHECK(root.integer(key, {}) == 0);
    }
    CHECK(problems.size() == 3);
    CHECK(root.integer("d", {}) == 9223372036854775807);
    CHECK(problems.size() == 3);
}
