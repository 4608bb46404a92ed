#include "failover/failover_backoff.h"
#include "failover/failover_coordinator.h"
#include "kv_service/failover_record_codec.h"
#include "support/virtual_callers.h"

#include <set>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;
using namespace citronfall::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string record_key = "groups/ledger";

void run_for(virtual_deployment& world, duration length)
{
    world.time().run_until(world.time().now() + length);
}

failover_record record_of(virtual_deployment& world)
{
    const auto read = failover_record_codec::decode(world.platform().model().read(record_key)->value);
    REQUIRE(ok(read));
    return value_of(read);
}

/// Isolates the current primary and returns the time until another member is primary.
std::optional<duration> time_to_new_primary(virtual_deployment& world, duration bound)
{
    const std::string old = world.group().primary();
    const instant cut_at = world.time().now();
    world.group().partition(old);
    while (world.time().now() < cut_at + bound) {
        run_for(world, milliseconds(1));
        if (world.group().primary() != old) {
            return world.time().now() - cut_at;
        }
    }
    return std::nullopt;
}

/// A failover coordinator with hooks that record their calls, and a group view that the test sets.
struct coordinator_bench {
    group_view view{{.group = "ledger", .member_count = 3}};
    std::vector<platform_call> platform;
    std::vector<std::pair<std::string, member_call>> controls;
    std::vector<outgoing_peer_message> peers;
    std::map<std::string, int> counts;
    std::set<std::string> failing;
    std::map<std::string, instant> answered;
    std::uint64_t number = 0;
    instant now{hours};
    std::optional<failover_coordinator> subject;

    static constexpr auto hours = std::chrono::hours(5);

    explicit coordinator_bench(bool automatic = true)
    {
        auto made = failover_coordinator::make(
            {.daemon = "entry-1",
             .view = [this](const std::string&) -> const group_view& { return view; },
             .last_answer = [this](const member_key& key) -> std::optional<instant> {
                 const auto found = answered.find(key->member);
                 return found == answered.end() ? std::nullopt : std::optional(found->second);
             },
             .last_call_failed = [this](const member_key& key) { return failing.contains(key->member); },
             .address = [](const member_key& key) { return key->member + ":1"; },
             .control = [this](const member_key& key, const member_call& call,
                               instant) { controls.emplace_back(key->member, call); },
             .poll = [](const std::string&, instant) {},
             .platform = [this](const platform_call& call) { platform.push_back(call); },
             .peer = [this](const outgoing_peer_message& command) { peers.push_back(command); },
             .encode = failover_record_codec::encode,
             .decode = failover_record_codec::decode,
             .next_number = [this] { return ++number; },
             .random = [this] { return 1'000 + ++number; },
             .count = [this](std::string_view name) { ++counts[std::string(name)]; },
             .log =
                 [](const std::string&) {
                 }});
        REQUIRE(ok(made));
        subject.emplace(take(std::move(made)));
        group_config_fields group{.name = "ledger"};
        for (const char* name : {"a", "b", "c"}) {
            group.members.push_back(member_config{{.name = name, .address = std::string(name) + ":1"}});
        }
        subject->accept(operator_config{{.groups = {{"ledger", group_config{group}}},
                                         .routing = routing_config{{.automatic_failover = automatic}}}},
                        now);
    }

    void observe(const std::string& member, term_number term, member_role role, std::vector<term_start> starts,
                 log_index last)
    {
        const member_status status{{.member = member,
                                    .role = role,
                                    .term = term,
                                    .last_index = last,
                                    .applied_index = last,
                                    .history = term_history{{.starts = std::move(starts)}}}};
        view = view.observe(status_observation{{.status = status, .sent_at = now, .received_at = now}});
        answered[member] = now;
        subject->observed(member_key{{.group = "ledger", .member = member}}, now);
    }

    void advance(duration length)
    {
        now += length;
        subject->tick(now);
    }

    void answer_platform(const kv_entry& entry)
    {
        const auto call = platform.back();
        subject->apply(platform_event{{.number = call->number, .entry = entry}}, now);
    }

    void fenced(const std::string& member, term_number term, std::vector<term_start> starts, log_index last)
    {
        observe(member, term, member_role::replica, std::move(starts), last);
        subject->apply(control_call_result{.member = member_key{{.group = "ledger", .member = member}},
                                           .call = member_call{{.operation = member_operation::fence, .term = term}},
                                           .answer = member_answer{{.verdict = member_verdict::done,
                                                                    .term = term,
                                                                    .status = view->latest.at(member)->status}}},
                       now);
    }
};

const std::vector<term_start> first_term{term_start{{.term = 1, .start = 1}}};

} // namespace

TEST_CASE("a silent primary is replaced within the target, with and without peer daemons", "[failover]")
{
    // Guards against waiting for peers that do not exist, and against concurrent failovers that block each other.
    for (const std::size_t daemons : {1, 3, 7}) {
        for (const bool peers : {true, false}) {
            virtual_deployment world({.seed = daemons, .daemons = daemons, .peers_connected = peers});
            run_for(world, seconds(1));
            const auto gap = time_to_new_primary(world, seconds(9));
            INFO(daemons << " daemons, peers " << peers);
            REQUIRE(gap.has_value());
            CHECK(*gap < seconds(2));
            run_for(world, seconds(1));
            CHECK(world.logged("promoted") == 1);
        }
    }
}

TEST_CASE("one daemon that cannot reach the primary causes no failover while its peers can", "[failover]")
{
    // Guards against a failover that only one daemon's network path makes necessary.
    virtual_deployment world({.seed = 4});
    run_for(world, seconds(1));
    world.group().cut_path("entry-2", "a");
    run_for(world, seconds(6));
    CHECK(world.logged("entry-2: group ledger: primary suspected") == 1);
    CHECK(world.group().primary() == "a");
    CHECK(world.platform().model().read(record_key)->revision == 0);
}

TEST_CASE("without automatic failover, a silent primary is only reported", "[failover]")
{
    coordinator_bench bench(false);
    bench.observe("a", 1, member_role::primary, first_term, 5);
    bench.failing.insert("a");
    for (int i = 0; i < 100; ++i) {
        bench.advance(milliseconds(100));
    }
    CHECK(bench.counts["failover_suspicions_total"] == 1);
    CHECK(bench.peers.empty());
    CHECK(bench.platform.empty());
    CHECK(bench.controls.empty());
}

TEST_CASE("the member whose last entry has the highest term, then index, is recorded and promoted", "[failover]")
{
    // Guards against preferring a longer log of an old term to a shorter one with entries of a newer term.
    coordinator_bench bench;
    bench.observe("a", 2, member_role::primary, {first_term[0], term_start{{.term = 2, .start = 4}}}, 6);
    bench.failing.insert("a");
    bench.advance(milliseconds(700));
    REQUIRE(bench.peers.size() == 1);
    bench.advance(milliseconds(160));
    REQUIRE(bench.platform.size() == 1);
    bench.answer_platform(kv_entry{});
    REQUIRE(bench.platform.size() == 2);
    bench.answer_platform(kv_entry{{.revision = 1, .value = bench.platform.back()->value}});
    REQUIRE(bench.controls.size() == 3);
    CHECK(bench.controls[0].second->term == 3);
    bench.fenced("b", 3, first_term, 20);
    CHECK(bench.platform.size() == 2);
    bench.fenced("c", 3, {first_term[0], term_start{{.term = 2, .start = 4}}}, 5);
    REQUIRE(bench.platform.size() == 3);
    const auto record = failover_record_codec::decode(bench.platform.back()->value);
    REQUIRE(ok(record));
    CHECK(value_of(record)->primary == "c");
    CHECK(bench.controls.size() == 3);
    bench.answer_platform(kv_entry{{.revision = 2, .value = bench.platform.back()->value}});
    REQUIRE(bench.controls.size() == 4);
    CHECK(bench.controls.back().first == "c");
    CHECK(bench.controls.back().second->operation == member_operation::promote);
}

TEST_CASE("a failover stops before the promotion if a member reports a higher term", "[failover]")
{
    coordinator_bench bench;
    bench.observe("a", 1, member_role::primary, first_term, 6);
    bench.failing.insert("a");
    bench.advance(milliseconds(700));
    bench.advance(milliseconds(160));
    bench.answer_platform(kv_entry{});
    bench.answer_platform(kv_entry{{.revision = 1, .value = bench.platform.back()->value}});
    REQUIRE(bench.subject->state_name("ledger") == "fencing");
    bench.fenced("b", 2, first_term, 6);
    bench.observe("c", 3, member_role::replica, first_term, 6);
    CHECK(bench.subject->state_name("ledger") == "suspecting");
    CHECK(bench.counts["failover_overtaken_total"] == 1);
    CHECK(bench.platform.size() == 2);
}

TEST_CASE("after a lost answer to a write, the leader reads its record back from the platform", "[failover]")
{
    // Guards against a leader that takes its own record for that of another daemon, or claims a second term.
    for (const unsigned lost : {1U, 2U}) {
        virtual_deployment world({.seed = lost, .daemons = 1});
        run_for(world, seconds(1));
        world.platform().lose_answers(lost);
        REQUIRE(time_to_new_primary(world, seconds(9)).has_value());
        run_for(world, seconds(1));
        CHECK(record_of(world)->term == 2);
        CHECK(record_of(world)->primary == world.group().primary());
    }
}

TEST_CASE("a paused leader is replaced and changes nothing when it resumes", "[failover]")
{
    // Guards against a leader that continues a failover after a later term has begun.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        virtual_deployment world({.seed = seed});
        run_for(world, seconds(1));
        world.group().partition("a");
        while (world.logged("starting failover") == 0) {
            run_for(world, std::chrono::microseconds(100));
        }
        const std::string leader = world.log().back().substr(0, world.log().back().find(':'));
        world.pause(leader, seconds(8));
        run_for(world, seconds(7));
        INFO("seed " << seed);
        const std::string primary = world.group().primary();
        const failover_record record = record_of(world);
        CHECK(primary != "a");
        CHECK(record->term > 2);
        run_for(world, seconds(5));
        CHECK(world.group().primary() == primary);
        CHECK(record_of(world) == record);
    }
}

TEST_CASE("successive changes of primary are at least 3 s, then 6 s apart", "[failover]")
{
    failover_backoff backoff;
    const instant start{std::chrono::hours(1)};
    CHECK(backoff.earliest() < start);
    const int expected[] = {3, 6, 12, 24, 24};
    for (const int wait : expected) {
        backoff = backoff.changed(start);
        CHECK(backoff.earliest() == start + seconds(wait));
    }
    CHECK(backoff.changed(start + failover_backoff::recent).earliest() ==
          start + failover_backoff::recent + seconds(3));

    virtual_deployment world({.seed = 8});
    run_for(world, seconds(1));
    REQUIRE(time_to_new_primary(world, seconds(9)).has_value());
    world.group().heal("a");
    run_for(world, seconds(1));
    const auto second = time_to_new_primary(world, seconds(9));
    REQUIRE(second.has_value());
    CHECK(*second > milliseconds(1'900));
    CHECK(*second < seconds(4));
}

TEST_CASE("a new primary that never answers is replaced without back-off", "[failover]")
{
    virtual_deployment world({.seed = 5});
    run_for(world, seconds(1));
    world.group().partition("a");
    while (world.group().primary() == "a") {
        run_for(world, std::chrono::microseconds(10));
    }
    world.group().heal("a");
    const auto second = time_to_new_primary(world, seconds(9));
    REQUIRE(second.has_value());
    CHECK(*second < seconds(3));
}

TEST_CASE("a former primary that returns is fenced, follows and drops its unconfirmed entries", "[failover]")
{
    virtual_deployment world({.seed = 6});
    virtual_callers callers(world, {});
    run_for(world, seconds(1));
    callers.start(world.time().now() + seconds(4));
    run_for(world, seconds(1));
    world.group().lag(seconds(30));
    run_for(world, milliseconds(300));
    const std::size_t unconfirmed = world.group().model("a").log().size();
    REQUIRE(unconfirmed > world.group().model("b").log().size());
    REQUIRE(time_to_new_primary(world, seconds(9)).has_value());
    world.group().lag(milliseconds(5));
    run_for(world, seconds(3));
    CHECK(world.group().model("a").primary());
    world.group().heal("a");
    run_for(world, seconds(3));
    CHECK_FALSE(world.group().model("a").primary());
    CHECK(world.group().model("a").log() == world.group().model(world.group().primary()).log());
    CHECK(callers.check().empty());
}

TEST_CASE("during a platform outage requests are served, but no member is promoted until it ends", "[failover]")
{
    virtual_deployment world({.seed = 7});
    virtual_callers callers(world, {});
    run_for(world, seconds(1));
    callers.start(world.time().now() + seconds(4));
    world.platform().outage(true);
    run_for(world, seconds(5));
    CHECK(callers.confirmations().size() > 30);
    CHECK_FALSE(time_to_new_primary(world, seconds(15)).has_value());
    // Attempts during the outage must not overload the platform: 3 daemons, at most one attempt each in 1.5 s.
    CHECK(world.platform().calls() <= 3 * 15);
    world.platform().outage(false);
    const instant back = world.time().now();
    while (world.group().primary() == "a" && world.time().now() < back + seconds(9)) {
        run_for(world, milliseconds(10));
    }
    CHECK(world.group().primary() != "a");
}

TEST_CASE("a failover record that cannot be decoded prevents a failover", "[failover]")
{
    // Guards against overwriting a value that an operator or another program has stored under the key.
    virtual_deployment world({.seed = 9});
    world.platform().model().compare_and_swap(record_key, 0, "not a record");
    run_for(world, seconds(1));
    CHECK_FALSE(time_to_new_primary(world, seconds(9)).has_value());
    CHECK(world.platform().model().read(record_key)->value == "not a record");
}

TEST_CASE("a failover record survives encoding and decoding; malformed text is refused", "[failover]")
{
    const failover_record record{{.group = "ledger-1", .term = 7, .leader = "entry-3", .nonce = ~0ULL, .primary = "b"}};
    const auto read = failover_record_codec::decode(failover_record_codec::encode(record));
    REQUIRE(ok(read));
    CHECK(value_of(read) == record);
    const char* faulty[] = {"",
                            "[]",
                            "{}",
                            R"({"group":"g","term":-1,"leader":"l","nonce":1,"primary":""})",
                            R"({"group":"g","term":1,"leader":"l","nonce":1})",
                            R"({"group":"g","term":1,"leader":"l","nonce":1,"primary":"","more":0})",
                            R"({"group":"g","term":"1","leader":"l","nonce":1,"primary":""})"};
    for (const char* text : faulty) {
        INFO(text);
        CHECK_FALSE(ok(failover_record_codec::decode(text)));
    }
}

TEST_CASE("control calls are sent one at a time before status calls, and fail with their connection", "[failover]")
{
    std::vector<upstream_command> sent;
    std::uint64_t number = 0;
    const instant now{std::chrono::hours(1)};
    status_poller poller({.send = [&](const upstream_command& command) { sent.push_back(command); },
                          .address = [](const member_key&) { return std::string("a:1"); },
                          .next_number = [&] { return ++number; },
                          .interval = [] { return milliseconds(100); },
                          .timeout =
                              [] {
                                  return milliseconds(250);
                              }});
    const member_key member{{.group = "ledger", .member = "a"}};
    const member_call fence{{.operation = member_operation::fence, .term = 2}};
    const member_call promote{{.operation = member_operation::promote, .term = 2}};
    const auto answer = [&](member_operation expected) {
        REQUIRE(sent.back()->call->operation == expected);
        return poller.apply(upstream_event{{.kind = upstream_event_kind::answered,
                                            .connection = sent.back()->connection,
                                            .exchange = sent.back()->exchange,
                                            .answer = member_answer{{.verdict = member_verdict::done}}}},
                            now);
    };
    poller.watch({member}, now);
    poller.apply(upstream_event{{.kind = upstream_event_kind::opened, .connection = sent.back()->connection}}, now);
    poller.control(member, fence, now);
    poller.control(member, promote, now);
    REQUIRE(sent.size() == 2);
    CHECK(answer(member_operation::status).ended.empty());
    CHECK(answer(member_operation::fence).ended.size() == 1);
    REQUIRE(sent.back()->call == promote);
    poller.control(member, fence, now);
    const auto lost =
        poller.apply(upstream_event{{.kind = upstream_event_kind::failed, .connection = sent.back()->connection}}, now);
    REQUIRE(lost.ended.size() == 2);
    CHECK_FALSE(lost.ended[0].answer.has_value());
    CHECK(lost.ended[1].call == fence);
    CHECK(poller.last_call_failed(member));
    CHECK(poller.next() == now);
}
