#include "router/router.h"

#include <map>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;
using namespace std::chrono_literals;

constexpr instant now{100s};

log_position at(term_number term, log_index index)
{
    return log_position{{.term = term, .index = index}};
}

/// A router and a group of three members in three data centres: `a` is primary and in the router's data centre, `b` and
/// `c` are replicas. A status round was completed every 100 ms; the primary writes one entry per millisecond.
struct router_fixture {
    explicit router_fixture(duration lag, const std::set<member_key>& leaving = {})
        : routes({.data_center = "east", .random = [this] {
                      return random();
                  }})
    {
        configure(leaving);
        for (duration sent = -2s; sent <= -100ms; sent += 100ms) {
            observe(sent, lag);
        }
    }

    void configure(const std::set<member_key>& leaving)
    {
        routes.configure(operator_config{
            {.groups = {{"g", group_config{{.name = "g",
                                            .members = {member_config{{.name = "a", .data_center = "east"}},
                                                        member_config{{.name = "b", .data_center = "north"}},
                                                        member_config{{.name = "c", .data_center = "west"}}},
                                            .slots_per_member = 3}}}},
             .leaving = leaving}});
    }

    void observe(duration sent, duration lag, const std::vector<const char*>& names = {"a", "b", "c"})
    {
        const instant when = now + sent;
        for (const char* name : names) {
            const bool primary = std::string(name) == "a";
            const duration reached = when.time_since_epoch() - (primary ? 0ms : lag);
            const auto index = static_cast<log_index>(reached / 1ms);
            view = view.observe(status_observation{
                {.status = member_status{{.member = name,
                                          .role = primary ? member_role::primary : member_role::replica,
                                          .term = 2,
                                          .last_index = index,
                                          .applied_index = index,
                                          .history = term_history{{.starts = {term_start{{.term = 1, .start = 1}},
                                                                              term_start{{.term = 2, .start = 50}}}}}}},
                 .sent_at = when,
                 .received_at = when + (primary ? 200us : 2200us)}});
        }
        routes.observe(view);
    }

    std::mt19937_64 random{7};
    group_view view{{.group = "g", .member_count = 3}};
    router routes;
};

read_requirement within(duration max_staleness)
{
    return read_requirement{{.max_staleness = max_staleness}};
}

std::string name_of(const route_decision& decision)
{
    return decision->member ? (*decision->member)->member : "none";
}

const member_key a{{.group = "g", .member = "a"}};
const member_key b{{.group = "g", .member = "b"}};
const member_key c{{.group = "g", .member = "c"}};

} // namespace

TEST_CASE("reads go to a replica that covers them, and to the primary otherwise", "[router]")
{
    struct row {
        const char* guards_against;
        duration lag;
        read_requirement requirement;
        bool replica;
    };
    const auto session_position = [](log_index index) {
        return read_requirement{{.session_position = at(2, index)}};
    };
    const row rows[] = {
        {"replicas that are not used at a small lag", 5ms, within(500ms), true},
        {"replicas that are not used at a usual lag", 100ms, within(500ms), true},
        {"stale answers from a lagging replica", 2s, within(500ms), false},
        {"a staleness that no status round proves", 5ms, within(50ms), false},
        {"a linearizable read at a replica", 5ms, read_requirement{{.linearizable = true}}, false},
        {"a session that does not read its own write", 2s, session_position(99'000), false},
        {"a session at the primary although a replica covers its position", 2s, session_position(97'000), true},
        {"a wait without end for a position that a change of primary lost", 2s,
         read_requirement{{.session_position = at(1, 60)}}, true},
    };
    for (const row& each : rows) {
        INFO(each.guards_against);
        const router_fixture fixture(each.lag);
        const auto decision = fixture.routes.route_read("g", each.requirement, {}, now);
        CHECK((name_of(decision) != "a") == each.replica);
        CHECK(name_of(decision) != "none");
    }
}

TEST_CASE("the minimum position is the lowest one that proves the accepted staleness", "[router]")
{
    const router_fixture fixture(5ms);
    CHECK(fixture.routes.minimum_position("g", within(500ms), now) == at(2, 99'500));
    CHECK(fixture.routes.minimum_position("g", within(450ms), now) == at(2, 99'600));
    CHECK(fixture.routes.minimum_position("g", within(50ms), now) == std::nullopt);
    CHECK(fixture.routes.minimum_position("g",
                                          read_requirement{{.session_position = at(2, 99'950), .max_staleness = 500ms}},
                                          now) == at(2, 99'950));
    CHECK(fixture.routes.minimum_position("g", read_requirement{{.session_position = at(1, 60)}}, now) == at(1, 49));
}

TEST_CASE("the smaller staleness applies; without one and without a token a read is linearizable", "[router]")
{
    struct row {
        std::optional<duration> own;
        std::optional<duration> declared;
        std::optional<duration> expected;
        bool token;
        bool linearizable;
    };
    const row rows[] = {
        {200ms, 500ms, 200ms, false, false}, {900ms, 500ms, 500ms, false, false}, {200ms, {}, 200ms, false, false},
        {{}, 500ms, 500ms, false, false},    {{}, {}, {}, true, false},           {{}, {}, {}, false, true},
        {-5ms, {}, 0ms, false, false},
    };
    for (const row& each : rows) {
        caller_request_fields request{.group = "g", .max_staleness = each.own};
        if (each.token) {
            request.session = session_token{}.seen("g", at(2, 1));
        }
        const auto made =
            read_requirement::make(caller_request{std::move(request)}, class_config{{.max_staleness = each.declared}});
        CHECK(made->max_staleness == each.expected);
        CHECK(made->linearizable == each.linearizable);
    }
    // A token that names only other groups does not count for this one.
    const caller_request other{{.group = "g", .session = session_token{}.seen("h", at(2, 1))}};
    CHECK(read_requirement::make(other, class_config{})->linearizable);
}

TEST_CASE("a leaving, refusing or silent member gets no read while another can answer", "[router]")
{
    const router_fixture leaving(5ms, {b});
    const router_fixture all_leaving(5ms, {a, b, c});
    const router_fixture all(5ms);
    for (int i = 0; i < 100; ++i) {
        CHECK(name_of(leaving.routes.route_read("g", within(500ms), {}, now)) == "c");
        CHECK(name_of(all.routes.route_read("g", within(500ms), {.refused = 0b100}, now)) == "b");
    }
    CHECK(name_of(all.routes.route_read("g", within(500ms), {.refused = 0b110}, now)) == "a");
    CHECK(name_of(all.routes.route_read("g", within(500ms), {.refused = 0b111}, now)) == "none");
    CHECK(name_of(all_leaving.routes.route_read("g", within(500ms), {}, now)) == "none");
    CHECK(name_of(all_leaving.routes.route_write("g")) == "none");
    CHECK(all_leaving.routes.primary("g") == a); // Work in progress may finish there.
    router_fixture silent(5ms);
    for (duration sent = 0ms; sent <= 1s; sent += 100ms) {
        silent.observe(sent, 5ms, {"a", "c"});
    }
    for (int i = 0; i < 100; ++i) {
        CHECK(name_of(silent.routes.route_read("g", within(5s), {}, now + 1s)) == "c");
    }
    // No other member is left. An old status is better than a refusal, since the member checks the minimum itself.
    CHECK(name_of(silent.routes.route_read("g", within(5s), {.refused = 0b101}, now + 1s)) == "b");
}

TEST_CASE("a read waits briefly for a replica only if the primary would not answer sooner", "[router]")
{
    const read_requirement recent{{.session_position = at(2, 99'905)}};
    router_fixture fixture(110ms);
    // The replicas had applied entry 99,790 100 ms ago and apply one entry per millisecond: 15 ms remain.
    CHECK(name_of(fixture.routes.route_read("g", recent, {}, now)) == "a");
    fixture.configure({a});
    const auto held = fixture.routes.route_read("g", recent, {}, now);
    CHECK(name_of(held) == "none");
    CHECK(held->wait > 0ms);
    CHECK(held->wait <= 20ms);
    // After the wait the read is sent without waiting again.
    CHECK(name_of(fixture.routes.route_read("g", recent, {.waited = true}, now + held->wait)) != "none");
}

TEST_CASE("equal members share the reads; loaded and distant members get fewer", "[router]")
{
    router_fixture fixture(5ms);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 1000; ++i) {
        ++chosen[name_of(fixture.routes.route_read("g", within(500ms), {}, now))];
    }
    CHECK(chosen["a"] == 0);
    CHECK(chosen["b"] > 300);
    CHECK(chosen["c"] > 300);
    fixture.routes.record_service_time(b, 10ms);
    for (int i = 0; i < 6; ++i) {
        fixture.routes.change_load(b, 1);
    }
    CHECK(name_of(fixture.routes.route_read("g", within(500ms), {}, now)) == "c");
}
