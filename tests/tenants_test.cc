#include "platform/caller_codec.h"
#include "platform/member_codec.h"
#include "platform/store_entry_reader.h"
#include "relay/relay_directory.h"
#include "relay/tenant_holders.h"
#include "support/gateway_simulation.h"
#include "tenancy/key_directory.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

tenant_policy tenant_with(const std::string& name, std::vector<std::string> keys)
{
    return tenant_policy{{.name = name, .keys = std::move(keys)}};
}

/// Fails the test if a statement ran on a connection of another tenant than its caller's.
void check_tenants(const gateway_simulation& world, const std::map<std::string, std::string>& expected)
{
    for (const auto& [request, tenants] : world.tenants_of_runs()) {
        INFO("request " << request);
        CHECK(tenants == std::set<std::string>{expected.at(request)});
    }
}

std::optional<error_kind> failure_of(const std::optional<statement_reply>& reply)
{
    return reply && (*reply)->failure ? std::optional((*(*reply)->failure)->kind) : std::nullopt;
}

} // namespace

TEST_CASE("the configuration's tenants, keys, limits and open routes are read", "[tenants]")
{
    const auto read = platform::store_entry_reader::read_service_configuration(
        R"({"Version":3,"Routes":[{"Name":"r","Host":"h","Type":"primary","Service":"s","SkipAuth":true}],)"
        R"("Services":[],"Tenants":[{"Name":"t1","ApiKeys":["k1","k2"],"Priority":1,"RatePerS":35.5,"Burst":7}]})");
    REQUIRE(ok(read));
    CHECK(value_of(read)->routes.at("h")->open);
    CHECK(value_of(read)->tenants.at("t1") ==
          tenant_policy{{.name = "t1", .keys = {"k1", "k2"}, .rate_per_s = 35.5, .burst = 7}});
}

TEST_CASE("a tenant's name with a blank, which would change a message to a member, is refused", "[tenants]")
{
    CHECK_FALSE(ok(platform::store_entry_reader::read_service_configuration(
        R"({"Version":3,"Routes":[],"Services":[],"Tenants":[{"Name":"t 1","ApiKeys":["k1"]}]})")));
}

TEST_CASE("members are told the tenant's name and never the key", "[tenants]")
{
    CHECK(platform::member_codec::encode(open_member_connection{
              {.service = "ledger", .member = "i-1", .tenant = "t1"}}) == "STARTUP ledger t1 i-1\r\n");
    const caller_event started = platform::caller_codec::decode(7, false, "STARTUP own k1");
    CHECK(std::get<caller_connected>(started)->key == "k1");
}

TEST_CASE("a key finds its tenant, and no other text does", "[tenants]")
{
    key_directory keys(17);
    keys.assign({{"a", tenant_with("a", {"k1", "k2"})}, {"b", tenant_with("b", {"k3", "k1"})}});
    REQUIRE(keys.find("k2") != nullptr);
    CHECK(*keys.find("k1") == "a");
    CHECK(*keys.find("k3") == "b");
    CHECK(keys.find("") == nullptr);
    CHECK(keys.find("k") == nullptr);
    CHECK(keys.find("k22") == nullptr);
    keys.assign({});
    CHECK(keys.find("k1") == nullptr);
}

TEST_CASE("the statements of a small tenant meet at one daemon, those of a large one at several", "[tenants]")
{
    CHECK(tenant_holder_count(0, 4) == 1);
    CHECK(tenant_holder_count(0.1, 4) == 1);
    CHECK(tenant_holder_count(0.3, 4) == 2);
    CHECK(tenant_holder_count(1, 4) == 4);
    const std::vector<std::string> assigned{"d1", "d2", "d3", "d4"};
    std::map<std::string, std::size_t> tenants_of;
    for (int i = 0; i < 400; ++i) {
        ++tenants_of[tenant_holder_order("ledger", "t" + std::to_string(i), assigned).front()];
    }
    for (const std::string& each : assigned) {
        CHECK(tenants_of[each] > 60); // 100 on average.
    }
}

TEST_CASE("the loss of a daemon moves only the tenants that it ran", "[tenants]")
{
    const std::vector<std::string> assigned{"d1", "d2", "d3", "d4"};
    const std::vector<std::string> left{"d1", "d2", "d4"};
    for (int i = 0; i < 100; ++i) {
        const std::string tenant = "t" + std::to_string(i);
        const std::string before = tenant_holder_order("ledger", tenant, assigned).front();
        if (before != "d3") {
            CHECK(tenant_holder_order("ledger", tenant, left).front() == before);
        }
    }
}

TEST_CASE("all daemons relay a tenant's statements to the same daemon", "[tenants]")
{
    std::vector<relay_candidate> all;
    for (int i = 0; i < 40; ++i) {
        all.push_back(relay_candidate{{.name = "frontend-" + std::to_string(i), .data_center = "dc"}});
    }
    std::map<std::string, std::set<std::string>> runs_at; // By tenant.
    for (const relay_candidate& self : all) {
        relay_directory directory(self);
        std::vector<relay_candidate> others = all;
        std::erase(others, self);
        directory.set_tenant_shares({{"a", 0.01}, {"b", 0.01}, {"c", 0.01}});
        directory.configure({{"ledger", 56}}, others, instant{1s});
        for (const relay_candidate& other : others) {
            directory.connected(other->name, instant{1s});
        }
        CHECK(directory.assigned("ledger").size() == 4);
        for (const std::string tenant : {"a", "b", "c"}) {
            const auto& targets = directory.targets("ledger", tenant);
            runs_at[tenant].insert(targets.empty() ? self->name : targets.front());
        }
    }
    for (const auto& [tenant, daemons] : runs_at) {
        CHECK(daemons.size() == 1);
    }
}

TEST_CASE("a caller with an unknown key is refused at once", "[tenants]")
{
    gateway_simulation world({.keys = {{"a", "key-a"}}});
    const session_number refused = world.open(0, "own", "key-b");
    REQUIRE(world.replies(0, refused).size() == 1);
    const auto& reply = world.replies(0, refused).front().reply;
    REQUIRE(std::holds_alternative<session_close>(reply));
    CHECK((*std::get<session_close>(reply)->failure)->kind == error_kind::unknown_key);
    for (const std::string& fields : world.logged(0, "session_refused")) {
        CHECK(fields.find("key-b") == std::string::npos); // Keys are secrets.
    }
    const session_number known = world.open(0, "own", "key-a");
    CHECK(world.execute(0, known, "READ x"));
}

TEST_CASE("a withdrawn key ends what its callers may do, inside a transaction too", "[tenants]")
{
    gateway_simulation world({.keys = {{"a", "key-a"}, {"b", "key-b"}}});
    const session_number idle = world.open(0, "own", "key-a");
    const session_number open = world.open(0, "own", "key-a");
    const session_number announced = world.open(0, "own", "key-a");
    const session_number other = world.open(0, "own", "key-b");
    REQUIRE(world.execute(0, open, "BEGIN"));
    REQUIRE_FALSE(failure_of(world.execute(0, open, "WRITE x y")));
    REQUIRE(world.execute(0, announced, "BEGIN"));
    world.set_keys({{"b", "key-b"}});
    world.write_configuration(2, {"fresh", "aged", "own"});
    world.run(1s);
    CHECK(world.connections_in_use(world.leader()) == 0); // The open transaction was rolled back.
    CHECK(failure_of(world.execute(0, idle, "READ x")) == error_kind::unknown_key);
    CHECK(failure_of(world.execute(0, open, "WRITE z y")) == error_kind::unknown_key);
    CHECK(failure_of(world.execute(0, open, "COMMIT")) == error_kind::transaction_lost);
    CHECK(failure_of(world.execute(0, announced, "READ x")) == error_kind::unknown_key);
    CHECK(world.execute(0, announced, "ROLLBACK"));
    CHECK(failure_of(world.execute(0, announced, "BEGIN")) == error_kind::unknown_key);
    CHECK_FALSE(failure_of(world.execute(0, other, "READ x")));
    CHECK(world.writes().empty());
}

TEST_CASE("a statement never runs on a connection of another tenant", "[tenants]")
{
    // Guards against a pooled, relayed or replaced connection that serves the wrong tenant: daemons restart, peers'
    // messages are held back and members lose connections while five tenants use few connections.
    const std::map<std::string, std::string> keys{{"a", "ka"}, {"b", "kb"}, {"c", "kc"}, {"d", "kd"}, {"e", "ke"}};
    for (std::uint64_t seed = 1; seed <= 500; ++seed) {
        INFO("seed " << seed);
        std::minstd_rand random(static_cast<std::minstd_rand::result_type>(seed));
        gateway_simulation world({.daemons = 4, .max_connections = 7, .seed = seed, .keys = keys});
        std::map<std::string, std::string> expected; // Tenant by request.
        std::vector<std::pair<std::size_t, session_number>> sessions;
        std::vector<std::string> tenants;
        for (std::size_t i = 0; i < 20; ++i) {
            const auto each = std::next(keys.begin(), static_cast<std::ptrdiff_t>(i % keys.size()));
            sessions.emplace_back(i % 4, world.open(i % 4, i % 3 == 0 ? "fresh" : "own", each->second));
            tenants.push_back(each->first);
        }
        const std::vector<std::string> texts{"READ x", "WRITE x y", "BEGIN", "COMMIT", "ROLLBACK", "READ x"};
        for (int step = 0; step < 300; ++step) {
            const std::size_t chosen = random() % sessions.size();
            const std::string before = world.last_request();
            world.send(sessions[chosen].first, sessions[chosen].second, texts[random() % texts.size()]);
            if (world.last_request() != before) {
                expected[world.last_request()] = tenants[chosen];
            }
            world.run(std::chrono::milliseconds(random() % 8));
            if (step == 100) {
                world.restart_daemon(3);
                world.hold_peer_messages(0, 1, true);
            } else if (step == 150) {
                world.hold_peer_messages(0, 1, false);
                world.reset_connections("m0");
            }
        }
        world.run(3s);
        CHECK(world.tenants_of_runs().size() > 50);
        check_tenants(world, expected);
    }
}
