#include "support/running_system.h"

#include <future>
#include <string>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace {

using namespace citronfall::testing;
using namespace std::chrono_literals;
using nlohmann::json;

const json request_target{{"tenant", "t"}, {"class", "c"}, {"group", "g"}};

std::string read_request(const std::string& statement)
{
    json body = request_target;
    body.update({{"kind", "read"}, {"statement", statement}});
    return post("/v1/statements", body.dump());
}

std::string transaction_call(const std::string& id, const std::string& verb, const json& body = json::object())
{
    return post("/v1/transactions/" + id + "/" + verb, body.dump());
}

json write_body(const std::string& statement)
{
    return {{"kind", "write"}, {"statement", statement}};
}

std::string begin(const std::string& address)
{
    return running_system::call(address, post("/v1/transactions", request_target.dump())).value("transaction", "");
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
    const std::string& daemon_address = system.address();
    const std::string first = begin(daemon_address);
    const std::string second = begin(daemon_address);
    REQUIRE((first.size() == 32 && second.size() == 32));
    // Each request uses a new connection: a transaction is identified by its id, not by the caller's connection.
    CHECK(system.call(daemon_address, transaction_call(first, "statements", write_body("set k one"))).at("outcome") ==
          "done");
    CHECK(system.call(daemon_address, transaction_call(second, "statements", write_body("set k two"))).at("outcome") ==
          "done");
    const json inside =
        system.call(daemon_address, transaction_call(first, "statements", {{"kind", "read"}, {"statement", "get k"}}));
    CHECK(inside.at("result") == "one");
    CHECK(inside.at("evidence") == "primary");
    CHECK(system.call(daemon_address, read_request("get k")).value("result", json()).is_null());
    CHECK(system.call(daemon_address, transaction_call(second, "rollback")).at("outcome") == "done");
    const json committed = system.call(daemon_address, transaction_call(first, "commit", {{"request_id", "commit-1"}}));
    CHECK(committed.at("outcome") == "done");
    CHECK(committed.at("evidence") == "majority");
    CHECK(system.call(daemon_address, read_request("get k")).at("result") == "one");
    CHECK(system.call(daemon_address, transaction_call(second, "statements", write_body("set k three"))).at("error") ==
          "unknown_transaction");
    const json conflict =
        system.call(daemon_address, transaction_call(begin(daemon_address), "statements", write_body("book k again")));
    CHECK(conflict.at("error") == "conflict");
    CHECK(conflict.at("outcome") == "done");
}

TEST_CASE("a transaction is unknown to other daemons", "[upstream]")
{
    running_system system(2);
    const std::string id = begin(system.address(0));
    CHECK(system.call(system.address(1), transaction_call(id, "statements", write_body("set k one"))).at("error") ==
          "unknown_transaction");
    CHECK(system.call(system.address(0), transaction_call(id, "statements", write_body("set k one"))).at("outcome") ==
          "done");
}

TEST_CASE("a silent connection is abandoned long before the deadline of the caller", "[upstream]")
{
    running_system system;
    const std::string& daemon_address = system.address();
    const std::string id = begin(daemon_address);
    CHECK(system.call(daemon_address, transaction_call(id, "statements", write_body("set k one"))).at("outcome") ==
          "done");
    auto waiting = std::async(std::launch::async, [&] {
        return system.call(daemon_address,
                           transaction_call(id, "statements", {{"kind", "read"}, {"statement", "cost 14000 get k"}}));
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
    CHECK(counter(daemon_address, "connections_silent_total") >= 1);
    CHECK(system.call(daemon_address, read_request("get x")).at("outcome") == "done");
}

TEST_CASE("a long statement on a healthy connection is not aborted", "[upstream]")
{
    running_system system;
    const std::string& daemon_address = system.address();
    CHECK(system.call(daemon_address, read_request("cost 3000 get x")).at("outcome") == "done");
    CHECK(counter(daemon_address, "connections_silent_total") == 0);
}

TEST_CASE("a drain waits for requests and transactions in progress and their answers", "[upstream]")
{
    // Guards against a shutdown of the HTTP server that aborts requests in progress.
    running_system system;
    const std::string daemon_address = system.address();
    const std::string id = begin(daemon_address);
    raw_client busy(daemon_address);
    raw_client transaction(daemon_address);
    busy.write(read_request("cost 1500 get x"));
    transaction.write(transaction_call(id, "statements", write_body("set k one")));
    CHECK(running_system::body(transaction.read_answers(1)).at("outcome") == "done");
    system.drain();
    std::this_thread::sleep_for(100ms);
    raw_client late_client(daemon_address);
    late_client.write(read_request("get x"));
    const std::string refused = late_client.read_to_end();
    CHECK(running_system::body(refused).at("error") == "leaving");
    CHECK(refused.find("Connection: Close") != std::string::npos);
    CHECK(late_client.closed());
    CHECK(running_system::body(busy.read_answers(1)).at("outcome") == "done");
    transaction.write(transaction_call(id, "commit", {{"request_id", "commit-2"}}));
    CHECK(running_system::body(transaction.read_answers(1)).at("outcome") == "done");
    system.join();
}
