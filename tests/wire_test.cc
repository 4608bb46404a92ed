#include "gateway/configuration_summary_json.h"
#include "http/http_client.h"
#include "platform/standin/blocking_client.h"
#include "support/running_gateway.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

using namespace citronfall;
using namespace std::chrono_literals;
using platform::standin::blocking_client;
using platform::standin::received_answer;

namespace {

/// Sends bytes on a new connection and returns the first line of the answer, or "closed" or "silent".
std::string send_on_new_connection(const std::string& address, const std::string& bytes,
                                   std::chrono::milliseconds bound = 3s)
{
    blocking_client caller(address);
    caller.send(bytes);
    if (const auto line = caller.line(bound)) {
        return *line;
    }
    return caller.connected() ? "silent" : "closed";
}

bool ended(const std::string& reply)
{
    return reply == "closed" || reply.starts_with("ERROR");
}

bool succeeded(const received_answer& answer)
{
    return answer.complete && !answer.error_code;
}

} // namespace

TEST_CASE("statements, transactions and prepared names work over sockets", "[wire]")
{
    // Guards against faults that tests of the codecs alone do not show.
    testing::running_gateway system;
    blocking_client caller(system.address());
    REQUIRE(succeeded(caller.start("own", 2s)));
    CHECK(succeeded(caller.execute("w1", "WRITE slot-1 rao", 2s)));
    const auto read = caller.execute("r1", "READ slot-1", 2s);
    CHECK(read.rows == std::vector<std::string>{"rao"});
    CHECK(succeeded(caller.execute("p1", "PREPARE s1 WRITE shape", 2s)));
    CHECK(succeeded(caller.execute("b1", "BEGIN", 2s)));
    CHECK(caller.execute("e1", "EXECUTE s1 slot-2 shah", 2s).state == transaction_state::open);
    CHECK(caller.execute("c1", "COMMIT", 2s).state == transaction_state::none);
    CHECK(caller.execute("r2", "READ slot-2", 2s).rows == std::vector<std::string>{"shah"});
    CHECK(succeeded(caller.execute("b2", "BEGIN", 2s)));
    CHECK(succeeded(caller.execute("w2", "WRITE slot-1 patel", 2s)));
    CHECK(succeeded(caller.execute("a2", "ROLLBACK", 2s)));
    CHECK(caller.execute("r3", "READ slot-1", 2s).rows == std::vector<std::string>{"rao"});
    CHECK(caller.execute("x1", "EXECUTE unknown slot-1", 2s).error_code);
}

TEST_CASE("bad input ends its own connection and affects no other", "[wire]")
{
    testing::running_gateway system;
    blocking_client other(system.address());
    REQUIRE(succeeded(other.start("own", 2s)));
    auto other_still_served = [&, number = 0]() mutable {
        return succeeded(other.execute("o" + std::to_string(++number), "READ x", 2s));
    };

    SECTION("a statement before the session's start")
    {
        CHECK(ended(send_on_new_connection(system.address(), "QUERY a READ x\r\n")));
        CHECK(other_still_served());
    }
    SECTION("an unknown kind of message")
    {
        CHECK(ended(send_on_new_connection(system.address(), "HELLO world\r\n")));
        CHECK(other_still_served());
    }
    SECTION("a line over the protocol's limit")
    {
        constexpr std::size_t over_limit = 1024 * 1024 + 1;
        CHECK(ended(send_on_new_connection(system.address(), "STARTUP " + std::string(over_limit, 'x') + "\r\n")));
        CHECK(other_still_served());
    }
    SECTION("a line without an end")
    {
        // Guards against memory use that grows with the bytes that a caller sends.
        blocking_client endless(system.address());
        const std::string block(64 * 1024, 'x');
        bool open = true;
        for (int i = 0; i < 1024 && open; ++i) {
            open = endless.send(block);
        }
        CHECK_FALSE(open);
        CHECK(other_still_served());
    }
    SECTION("half a line, then silence")
    {
        // Guards against connections that hold memory for good.
        CHECK(ended(send_on_new_connection(system.address(), "STARTUP own", 8s)));
        blocking_client started(system.address());
        REQUIRE(succeeded(started.start("own", 2s)));
        started.send("QUERY a REA");
        CHECK_FALSE(started.line(15s));
        CHECK_FALSE(started.connected());
        CHECK(other_still_served());
    }
    SECTION("random bytes")
    {
        std::mt19937 random(7);
        for (int round = 0; round < 200; ++round) {
            std::string bytes(random() % 400, '\0');
            for (char& c : bytes) {
                c = static_cast<char>(random());
            }
            CHECK(ended(send_on_new_connection(system.address(), bytes + "\r\n")));
        }
        CHECK(other_still_served());
    }
}

TEST_CASE("a crashed stand-in member serves again after a restart", "[wire]")
{
    // Guards against soak runs whose members do not come back after a crash.
    testing::running_gateway system;
    for (const char* member : {"b", "a", "c"}) {
        INFO(member);
        system.run_on_platform([member](auto& platform) { platform.crash(member); });
        std::this_thread::sleep_for(100ms);
        system.run_on_platform([member](auto& platform) { platform.restart(member); });
    }
    blocking_client caller(system.address());
    REQUIRE(succeeded(caller.start("own", 2s)));
    bool served = false;
    for (int attempt = 0; attempt < 300 && !served; ++attempt) {
        served = succeeded(caller.execute("w" + std::to_string(attempt), "WRITE x y", 2s));
        std::this_thread::sleep_for(20ms);
    }
    CHECK(served);
    system.run_on_platform([](auto& platform) {
        for (const char* member : {"a", "b", "c"}) {
            CHECK(platform.service().up(member));
        }
    });
}

TEST_CASE("the status shows the leader, the members and the current configuration", "[wire]")
{
    // The counters do not show which member leads or which configuration is in effect.
    testing::running_gateway system;
    auto client = http_client::make({.address = system.probe()});
    REQUIRE(ok(client));
    nlohmann::json status = nlohmann::json::object();
    for (int attempt = 0; attempt < 100 && status.value("services", nlohmann::json::array()).empty(); ++attempt) {
        std::this_thread::sleep_for(50ms); // Published once a second.
        const auto reply = std::get<http_client>(client).call(http_request{{.target = "/status"}}, steady_now() + 2s);
        REQUIRE(ok(reply));
        status = nlohmann::json::parse(value_of(reply)->body);
    }
    CHECK(status.at("daemon") == "d0");
    CHECK(status.at("ready") == true);
    CHECK(status.at("configuration_version") == 1);
    REQUIRE(status.at("services").size() == 1);
    CHECK(status.at("services").front().at("leader") == "a");
    CHECK(status.at("services").front().at("evidence_age_ms").get<int>() < 2000);
    CHECK(status.at("members").size() == 3);
    const auto reply =
        std::get<http_client>(client).call(http_request{{.target = "/configuration"}}, steady_now() + 2s);
    REQUIRE(ok(reply));
    const auto configuration = read_configuration_summary(value_of(reply)->body);
    REQUIRE(ok(configuration));
    CHECK(value_of(configuration)->version == 1);
    CHECK(value_of(configuration)->routes.size() == 3);
}

TEST_CASE("the metrics count why sessions ended", "[wire]")
{
    testing::running_gateway system;
    blocking_client leaving(system.address());
    REQUIRE(succeeded(leaving.start("own", 2s)));
    leaving.terminate();
    {
        blocking_client closing(system.address());
        REQUIRE(succeeded(closing.start("own", 2s)));
    }
    auto client = http_client::make({.address = system.probe()});
    REQUIRE(ok(client));
    std::string metrics;
    const auto counted = [&](const std::string& reason) {
        return metrics.find("sessions_ended_total{reason=\"" + reason + "\"}") != std::string::npos;
    };
    for (int attempt = 0; attempt < 100 && !(counted("caller_left") && counted("caller_closed")); ++attempt) {
        std::this_thread::sleep_for(50ms); // Published once a second.
        const auto reply = std::get<http_client>(client).call(http_request{{.target = "/metrics"}}, steady_now() + 2s);
        REQUIRE(ok(reply));
        metrics = value_of(reply)->body;
    }
    CHECK(counted("caller_left"));
    CHECK(counted("caller_closed"));
    CHECK(metrics.find("statements_unanswered_total") != std::string::npos);
}
