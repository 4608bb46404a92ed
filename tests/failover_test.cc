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

void run_for(virtual_deployment& deployment, duration length)
{
    deployment.time().run_until(deployment.time().now() + length);
}

failover_record record_of(virtual_deployment& deployment)
{
    const auto read = failover_record_codec::decode(deployment.platform().model().read(record_key)->value);
    REQUIRE(ok(read));
    return value_of(read);
}

/// Isolates the current primary and returns the time until another member is primary.
std::optional<duration> time_to_new_primary(virtual_deployment& deployment, duration bound)
{
    const std::string old = deployment.group().primary();
    const instant cut_at = deployment.time().now();
    deployment.group().partition(old);
    while (deployment.time().now() < cut_at + bound) {
        run_for(deployment, milliseconds(1));
        if (deployment.group().primary() != old) {
            return deployment.time().now() - cut_at;
        }
    }
    return std::nullopt;
}

/// A failover coordinator with hooks that record their calls, and a group view that the test sets.
struct coordinator_fixture {
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

    explicit coordinator_fixture(bool automatic = true)
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
        subject->configure(operator_config{{.groups = {{"ledger", group_config{group}}},
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
        subject->status_observed(member_key{{.group = "ledger", .member = member}}, now);
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
            virtual_deployment deployment({.seed = daemons, .daemons = daemons, .peers_connected = peers});
            run_for(deployment, seconds(1));
            const auto gap = time_to_new_primary(deployment, seconds(9));
            INFO(daemons << " daemons, peers " << peers);
            REQUIRE(gap.has_value());
            CHECK(*gap < seconds(2));
            run_for(deployment, seconds(1));
            CHECK(deployment.count_log_lines("promoted") == 1);
        }
    }
}

TEST_CASE("one daemon that cannot reach the primary causes no failover while its peers can", "[failover]")
{
    // Guards against a failover that only one daemon's network path makes necessary.
    virtual_deployment deployment({.seed = 4});
    run_for(deployment, seconds(1));
    deployment.group().partition_path("entry-2", "a");
    run_for(deployment, seconds(6));
    CHECK(deployment.count_log_lines("entry-2: group ledger: primary suspected") == 1);
    CHECK(deployment.group().primary() == "a");
    CHECK(deployment.platform().model().read(record_key)->revision == 0);
}

TEST_CASE("without automatic failover, a silent primary is only reported", "[failover]")
{
    coordinator_fixture fixture(false);
    fixture.observe("a", 1, member_role::primary, first_term, 5);
    fixture.failing.insert("a");
    for (int i = 0; i < 100; ++i) {
        fixture.advance(milliseconds(100));
    }
    CHECK(fixture.counts["failover_suspicions_total"] == 1);
    CHECK(fixture.peers.empty());
    CHECK(fixture.platform.empty());
    CHECK(fixture.controls.empty());
}

TEST_CASE("the member whose last entry has the highest term, then index, is recorded and promoted", "[failover]")
{
    // Guards against preferring a longer log of an old term to a shorter one with entries of a newer term.
    coordinator_fixture fixture;
    fixture.observe("a", 2, member_role::primary, {first_term[0], term_start{{.term = 2, .start = 4}}}, 6);
    fixture.failing.insert("a");
    fixture.advance(milliseconds(700));
    REQUIRE(fixture.peers.size() == 1);
    fixture.advance(milliseconds(160));
    REQUIRE(fixture.platform.size() == 1);
    fixture.answer_platform(kv_entry{});
    REQUIRE(fixture.platform.size() == 2);
    fixture.answer_platform(kv_entry{{.revision = 1, .value = fixture.platform.back()->value}});
    REQUIRE(fixture.controls.size() == 3);
    CHECK(fixture.controls[0].second->term == 3);
    fixture.fenced("b", 3, first_term, 20);
    CHECK(fixture.platform.size() == 2);
    fixture.fenced("c", 3, {first_term[0], term_start{{.term = 2, .start = 4}}}, 5);
    REQUIRE(fixture.platform.size() == 3);
    const auto record = failover_record_codec::decode(fixture.platform.back()->value);
    REQUIRE(ok(record));
    CHECK(value_of(record)->primary == "c");
    CHECK(fixture.controls.size() == 3);
    fixture.answer_platform(kv_entry{{.revision = 2, .value = fixture.platform.back()->value}});
    REQUIRE(fixture.controls.size() == 4);
    CHECK(fixture.controls.back().first == "c");
    CHECK(fixture.controls.back().second->operation == member_operation::promote);
}

TEST_CASE("a failover stops before the promotion if a member reports a higher term", "[failover]")
{
    coordinator_fixture fixture;
    fixture.observe("a", 1, member_role::primary, first_term, 6);
    fixture.failing.insert("a");
    fixture.advance(milliseconds(700));
    fixture.advance(milliseconds(160));
    fixture.answer_platform(kv_entry{});
    fixture.answer_platform(kv_entry{{.revision = 1, .value = fixture.platform.back()->value}});
    REQUIRE(fixture.subject->state_name("ledger") == "fencing");
    fixture.fenced("b", 2, first_term, 6);
    fixture.observe("c", 3, member_role::replica, first_term, 6);
    CHECK(fixture.subject->state_name("ledger") == "suspecting");
    CHECK(fixture.counts["failover_overtaken_total"] == 1);
    CHECK(fixture.platform.size() == 2);
}

TEST_CASE("after a lost answer to a write, the leader reads its record back from the platform", "[failover]")
{
    // Guards against a leader that takes its own record for that of another daemon, or claims a second term.
    for (const unsigned lost : {1U, 2U}) {
        virtual_deployment deployment({.seed = lost, .daemons = 1});
        run_for(deployment, seconds(1));
        deployment.platform().lose_answers(lost);
        REQUIRE(time_to_new_primary(deployment, seconds(9)).has_value());
        run_for(deployment, seconds(1));
        CHECK(record_of(deployment)->term == 2);
        CHECK(record_of(deployment)->primary == deployment.group().primary());
    }
}

TEST_CASE("a paused leader is replaced and changes nothing when it resumes", "[failover]")
{
    // Guards against a leader that continues a failover after a later term has begun.
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        virtual_deployment deployment({.seed = seed});
        run_for(deployment, seconds(1));
        deployment.group().partition("a");
        while (deployment.count_log_lines("starting failover") == 0) {
            run_for(deployment, std::chrono::microseconds(100));
        }
        const std::string leader = deployment.log().back().substr(0, deployment.log().back().find(':'));
        deployment.pause(leader, seconds(8));
        run_for(deployment, seconds(7));
        INFO("seed " << seed);
        const std::string primary = deployment.group().primary();
        const failover_record record = record_of(deployment);
        CHECK(primary != "a");
        CHECK(record->term > 2);
        run_for(deployment, seconds(5));
        CHECK(deployment.group().primary() == primary);
        CHECK(record_of(deployment) == record);
    }
}

TEST_CASE("successive changes of primary are at least 3 s, then 6 s apart", "[failover]")
{
    failover_backoff backoff;
    const instant start{std::chrono::hours(1)};
    CHECK(backoff.earliest_change() < start);
    const int expected[] = {3, 6, 12, 24, 24};
    for (const int wait : expected) {
        backoff = backoff.with_change(start);
        CHECK(backoff.earliest_change() == start + seconds(wait));
    }
    CHECK(backoff.with_change(start + failover_backoff::recent_age).earliest_change() ==
          start + failover_backoff::recent_age + seconds(3));

    virtual_deployment deployment({.seed = 8});
    run_for(deployment, seconds(1));
    REQUIRE(time_to_new_primary(deployment, seconds(9)).has_value());
    deployment.group().heal("a");
    run_for(deployment, seconds(1));
    const auto second = time_to_new_primary(deployment, seconds(9));
    REQUIRE(second.has_value());
    CHECK(*second > milliseconds(1'900));
    CHECK(*second < seconds(4));
}

TEST_CASE("a new primary that never answers is replaced without back-off", "[failover]")
{
    virtual_deployment deployment({.seed = 5});
    run_for(deployment, seconds(1));
    deployment.group().partition("a");
    while (deployment.group().primary() == "a") {
        run_for(deployment, std::chrono::microseconds(10));
    }
    deployment.group().heal("a");
    const auto second = time_to_new_primary(deployment, seconds(9));
    REQUIRE(second.has_value());
    CHECK(*second < seconds(3));
}

TEST_CASE("a former primary that returns is fenced, follows and drops its unconfirmed entries", "[failover]")
{
    virtual_deployment deployment({.seed = 6});
    virtual_callers callers(deployment, {});
    run_for(deployment, seconds(1));
    callers.start(deployment.time().now() + seconds(4));
    run_for(deployment, seconds(1));
    deployment.group().lag(seconds(30));
    run_for(deployment, milliseconds(300));
    const std::size_t unconfirmed = deployment.group().model("a").log().size();
    REQUIRE(unconfirmed > deployment.group().model("b").log().size());
    REQUIRE(time_to_new_primary(deployment, seconds(9)).has_value());
    deployment.group().lag(milliseconds(5));
    run_for(deployment, seconds(3));
    CHECK(deployment.group().model("a").primary());
    deployment.group().heal("a");
    run_for(deployment, seconds(3));
    CHECK_FALSE(deployment.group().model("a").primary());
    CHECK(deployment.group().model("a").log() == deployment.group().model(deployment.group().primary()).log());
    CHECK(callers.check().empty());
}

TEST_CASE("during a platform outage requests are served, but no member is promoted until it ends", "[failover]")
{
    virtual_deployment deployment({.seed = 7});
    virtual_callers callers(deployment, {});
    run_for(deployment, seconds(1));
    callers.start(deployment.time().now() + seconds(4));
    deployment.platform().outage(true);
    run_for(deployment, seconds(5));
    CHECK(callers.confirmations().size() > 30);
    CHECK_FALSE(time_to_new_primary(deployment, seconds(15)).has_value());
    // Attempts during the outage must not overload the platform: 3 daemons, at most one attempt each in 1.5 s.
    CHECK(deployment.platform().calls() <= 3 * 15);
    deployment.platform().outage(false);
    const instant back = deployment.time().now();
    while (deployment.group().primary() == "a" && deployment.time().now() < back + seconds(9)) {
        run_for(deployment, milliseconds(10));
    }
    CHECK(deployment.group().primary() != "a");
}

TEST_CASE("a failover record that cannot be decoded prevents a failover", "[failover]")
{
    // Guards against overwriting a value that an operator or another program has stored under the key.
    virtual_deployment deployment({.seed = 9});
    deployment.platform().model().compare_and_swap(record_key, 0, "not a record");
    run_for(deployment, seconds(1));
    CHECK_FALSE(time_to_new_primary(deployment, seconds(9)).has_value());
    CHECK(deployment.platform().model().read(record_key)->value == "not a record");
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
    poller.set_members({member}, now);
    poller.apply(upstream_event{{.kind = upstream_event_kind::opened, .connection = sent.back()->connection}}, now);
    poller.control(member, fence, now);
    poller.control(member, promote, now);
    REQUIRE(sent.size() == 2);
    CHECK(answer(member_operation::status).ended_calls.empty());
    CHECK(answer(member_operation::fence).ended_calls.size() == 1);
    REQUIRE(sent.back()->call == promote);
    poller.control(member, fence, now);
    const auto lost =
        poller.apply(upstream_event{{.kind = upstream_event_kind::failed, .connection = sent.back()->connection}}, now);
    REQUIRE(lost.ended_calls.size() == 2);
    CHECK_FALSE(lost.ended_calls[0].answer.has_value());
    CHECK(lost.ended_calls[1].call == fence);
    CHECK(poller.last_call_failed(member));
    CHECK(poller.next() == now);
}
