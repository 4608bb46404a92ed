#include "support/running_system.h"

#include <future>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace {

using namespace citronfall::testing;
using namespace std::chrono_literals;
using nlohmann::json;

const json place{{"tenant", "t"}, {"class", "c"}, {"group", "g"}};

std::string read_of(const std::string& statement)
{
    json body = place;
    body.update({{"kind", "read"}, {"statement", statement}});
    return post("/v1/statements", body.dump());
}

std::string step(const std::string& id, const std::string& verb, const json& body = json::object())
{
    return post("/v1/transactions/" + id + "/" + verb, body.dump());
}

json write_of(const std::string& statement)
{
    return {{"kind", "write"}, {"statement", statement}};
}

std::string begin(const std::string& address)
{
    return running_system::call(address, post("/v1/transactions", place.dump())).value("transaction", "");
}

std::uint64_t counter(const std::string& address, const std::string& name)
{
    raw_client client(address);
    client.write(get("/metrics"));
    const std::string text = client.read_answers(1);
    const std::size_t at = text.find("\n" + name + " ");
    return at == std::string::npos ? 0 : std::stoull(text.substr(at + name.size() + 2));
}

} // namespace

TEST_CASE("transactions of two callers stay isolated from each other", "[upstream]")
{
    running_system system;
    const std::string& entry = system.address();
    const std::string first = begin(entry);
    const std::string second = begin(entry);
    REQUIRE((first.size() == 32 && second.size() == 32));
    // Each request uses a new connection: a transaction is identified by its id, not by the caller's connection.
    CHECK(system.call(entry, step(first, "statements", write_of("set k one"))).at("outcome") == "done");
    CHECK(system.call(entry, step(second, "statements", write_of("set k two"))).at("outcome") == "done");
    const json inside = system.call(entry, step(first, "statements", {{"kind", "read"}, {"statement", "get k"}}));
    CHECK(inside.at("result") == "one");
    CHECK(inside.at("evidence") == "primary");
    CHECK(system.call(entry, read_of("get k")).value("result", json()).is_null());
    CHECK(system.call(entry, step(second, "rollback")).at("outcome") == "done");
    const json committed = system.call(entry, step(first, "commit", {{"request_id", "commit-1"}}));
    CHECK(committed.at("outcome") == "done");
    CHECK(committed.at("evidence") == "majority");
    CHECK(system.call(entry, read_of("get k")).at("result") == "one");
    CHECK(system.call(entry, step(second, "statements", write_of("set k three"))).at("error") == "unknown_transaction");
    const json conflict = system.call(entry, step(begin(entry), "statements", write_of("book k again")));
    CHECK(conflict.at("error") == "conflict");
    CHECK(conflict.at("outcome") == "done");
}

TEST_CASE("a transaction is unknown to other daemons", "[upstream]")
{
    running_system system(2);
    const std::string id = begin(system.address(0));
    CHECK(system.call(system.address(1), step(id, "statements", write_of("set k one"))).at("error") ==
          "unknown_transaction");
    CHECK(system.call(system.address(0), step(id, "statements", write_of("set k one"))).at("outcome") == "done");
}

TEST_CASE("a silent connection is abandoned long before the deadline of the caller", "[upstream]")
{
    running_system system;
    const std::string& entry = system.address();
    const std::string id = begin(entry);
    CHECK(system.call(entry, step(id, "statements", write_of("set k one"))).at("outcome") == "done");
    auto waiting = std::async(std::launch::async, [&] {
        return system.call(entry, step(id, "statements", {{"kind", "read"}, {"statement", "cost 14000 get k"}}));
    });
    std::this_thread::sleep_for(100ms);
    const auto silent_since = std::chrono::steady_clock::now();
    system.control_group("/silence/a");
    const json lost = waiting.get();
    // The target is 1 s, which the tests of the connection pool check with a simulated clock. This bound only proves
    // that the daemon does not wait for the deadline.
    CHECK(std::chrono::steady_clock::now() - silent_since < 7s);
    CHECK(lost.at("error") == "transaction_lost");
    CHECK(lost.at("outcome") == "not_run");
    CHECK(counter(entry, "connections_silent_total") >= 1);
    CHECK(system.call(entry, read_of("get x")).at("outcome") == "done");
}

TEST_CASE("a long statement on a healthy connection is not aborted", "[upstream]")
{
    running_system system;
    const std::string& entry = system.address();
    CHECK(system.call(entry, read_of("cost 3000 get x")).at("outcome") == "done");
    CHECK(counter(entry, "connections_silent_total") == 0);
}

TEST_CASE("a drain waits for requests and transactions in progress and their answers", "[upstream]")
{
    // Guards against a shutdown of the HTTP server that aborts requests in progress.
    running_system system;
    const std::string entry = system.address();
    const std::string id = begin(entry);
    raw_client busy(entry);
    raw_client transaction(entry);
    busy.write(read_of("cost 1500 get x"));
    transaction.write(step(id, "statements", write_of("set k one")));
    CHECK(running_system::body(transaction.read_answers(1)).at("outcome") == "done");
    system.drain();
    std::this_thread::sleep_for(100ms);
    raw_client fresh(entry);
    fresh.write(read_of("get x"));
    const std::string refused = fresh.read_to_end();
    CHECK(running_system::body(refused).at("error") == "leaving");
    CHECK(refused.find("Connection: Close") != std::string::npos);
    CHECK(fresh.closed());
    CHECK(running_system::body(busy.read_answers(1)).at("outcome") == "done");
    transaction.write(step(id, "commit", {{"request_id", "commit-2"}}));
    CHECK(running_system::body(transaction.read_answers(1)).at("outcome") == "done");
    system.join();
}
