#include "citronfall/chart.h"
#include "citronfall/chart_invariant_checker.h"
#include "citronfall/chart_program.h"

#include "chart/embedded_charts.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;

enum class door_event { open, close, expire };

struct door {
    std::vector<std::string> log;
    bool locked = false;
};

constexpr const char* door_chart = R"({
  "name": "door", "initial": "shut",
  "states": {
    "shut": { "on": { "open": [ {"if": "locked", "do": ["refuse"]}, {"do": ["swing"], "to": "ajar"} ] },
              "ignore": ["close", "expire"] },
    "ajar": { "on": { "close": [ {"to": "shut"} ], "expire": [ {"do": ["swing"], "to": "gone"} ] },
              "after": [ {"timer": "patience", "event": "expire"} ], "ignore": ["open"] },
    "gone": { "final": true } },
  "invariants": [ {"never_after": {"action": "refuse", "after": "swing"}, "assume": {"locked": false}} ] })";

chart_bindings<door> door_bindings()
{
    return {.events = {"open", "close", "expire"},
            .guards = {{"locked",
                        [](const door& context) {
                            return context.locked;
                        }}},
            .actions = {{"refuse",
                         [](door& context) {
                             context.log.emplace_back("refuse");
                         }},
                        {"swing",
                         [](door& context) {
                             context.log.emplace_back("swing");
                         }}},
            .arm_timer = [](door& context, const chart_timer& timer) {
                context.log.push_back(timer->timer);
            }};
}

std::string with_replacement(std::string text, const std::string& from, const std::string& to)
{
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("a chart program evaluates guards in order, runs actions and arms timers", "[chart]")
{
    auto program = chart_program<door_event, door>::make(value_of(chart::make({.file = "door", .text = door_chart})),
                                                         door_bindings());
    REQUIRE(ok(program));
    const auto& doors = value_of(program);
    door context{.log = {}, .locked = true};
    state_id state = doors.start(context);
    state = doors.fire(state, door_event::open, context).state;
    CHECK(doors.state_name(state) == "shut");
    context.locked = false;
    CHECK_FALSE(doors.fire(state, door_event::close, context).handled);
    state = doors.fire(state, door_event::open, context).state;
    CHECK(doors.state_name(state) == "ajar");
    state = doors.fire(state, door_event::expire, context).state;
    CHECK(doors.is_final(state));
    CHECK(context.log == std::vector<std::string>{"refuse", "swing", "patience", "swing"});
}

TEST_CASE("a malformed chart is refused with the file and the state", "[chart]")
{
    struct fault {
        const char* from;
        const char* to;
        const char* expected;
    };
    const auto faults = std::vector<fault>{
        {R"("to": "ajar")", R"("to": "wide")", "unknown state wide"},
        {R"("ignore": ["open"])", R"("ignore": [])", "state ajar: event neither handled nor ignored: open"},
        {R"("to": "gone")", R"("to": "ajar")", "state gone: unreachable"},
        {R"([ {"to": "shut"} ])", R"([ {"if": "locked", "to": "shut"} ])", "the last transition has a guard"},
        {R"("after": [)", R"("afterwards": [)", "unknown key afterwards"},
        {R"("action": "refuse")", R"("action": "deny")", "unknown action deny"},
        {R"("ignore": ["close", "expire"])", R"("ignore": ["close", "expire", "slam"])", "ignores unknown event slam"},
    };
    for (const fault& each : faults) {
        const auto text = with_replacement(door_chart, each.from, each.to);
        const auto read = chart::make({.file = "door.json", .text = text});
        INFO(each.to);
        REQUIRE_FALSE(ok(read));
        CHECK(error_of(read)->detail.find("door.json") == 0);
        CHECK(error_of(read)->detail.find(each.expected) != std::string::npos);
    }
}

TEST_CASE("bindings must match the chart's names exactly", "[chart]")
{
    auto missing_action = door_bindings();
    missing_action.actions.erase("swing");
    auto extra_guard = door_bindings();
    extra_guard.guards["bolted"] = [](const door&) {
        return true;
    };
    const auto subject = value_of(chart::make({.file = "door", .text = door_chart}));
    const auto first = chart_program<door_event, door>::make(subject, missing_action);
    const auto second = chart_program<door_event, door>::make(subject, extra_guard);
    REQUIRE_FALSE(ok(first));
    REQUIRE_FALSE(ok(second));
    CHECK(error_of(first)->detail == "chart door: unknown action swing");
    CHECK(error_of(second)->detail == "chart door: unused guard bolted");
}

TEST_CASE("the checker finds a path that violates an invariant", "[chart]")
{
    const auto text = with_replacement(door_chart, R"(, "assume": {"locked": false})", "");
    const auto subject = value_of(chart::make({.file = "door", .text = text}));
    const auto checked = chart_invariant_checker(subject).check();
    REQUIRE_FALSE(ok(checked));
    CHECK(error_of(checked)->detail ==
          "chart door breaks \"refuse never after swing\" by: open close open in state shut");
}

TEST_CASE("all embedded charts are well formed and keep their invariants", "[chart]")
{
    REQUIRE_FALSE(embedded_charts().empty());
    for (const embedded_chart& each : embedded_charts()) {
        INFO(each.name);
        const auto read = chart::make_embedded(each.name);
        INFO((ok(read) ? std::string{} : error_of(read)->detail));
        REQUIRE(ok(read));
        CHECK_FALSE(value_of(read).invariants().empty());
        const auto checked = chart_invariant_checker(value_of(read)).check();
        INFO((ok(checked) ? std::string{} : error_of(checked)->detail));
        CHECK(ok(checked));
    }
}
