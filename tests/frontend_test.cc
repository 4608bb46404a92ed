#include "support/raw_client.h"
#include "support/running_front_end.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace {

using namespace citronfall;
using namespace citronfall::testing;
using namespace std::chrono_literals;

std::string statement(const std::string& text)
{
    return post("/v1/statements",
                R"({"tenant":"t","class":"c","group":"g","kind":"read","statement":")" + text + "\"}");
}

bool contains(const std::string& text, const std::string& part)
{
    return text.find(part) != std::string::npos;
}

/// Polls the metrics until the line appears, because a counter may be updated after its event is visible.
bool metrics_show(const std::string& address, const std::string& line)
{
    for (int attempt = 0; attempt < 50; ++attempt) {
        raw_client client(address);
        client.write(get("/metrics"));
        if (contains(client.read_answers(1), line + "\n")) {
            return true;
        }
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

} // namespace

TEST_CASE("answers are sent in the order of the requests, not of completion", "[frontend]")
{
    // Pistache sends in the order of completion, so the caller would mistake the second answer for the first.
    running_front_end server;
    raw_client client(server.address());
    client.write(statement("first"));
    const auto first = server.next_request();
    std::this_thread::sleep_for(50ms);
    client.write(statement("second"));
    const auto second = server.next_request();
    server.answer(second, "second answer");
    CHECK(client.read_answers(1, 100ms).empty());
    server.answer(first, "first answer");
    const std::string read = client.read_answers(2);
    REQUIRE(whole_answers(read) == 2);
    CHECK(read.find("first answer") < read.find("second answer"));
}

TEST_CASE("all requests in one segment are answered in order", "[frontend]")
{
    // Pistache discards all data after the first request of a segment.
    running_front_end server;
    raw_client client(server.address());
    client.write(statement("1") + statement("2") + statement("3"));
    std::vector<caller_request> requests;
    for (int i = 0; i < 3; ++i) {
        requests.push_back(server.next_request());
    }
    for (int i = 2; i >= 0; --i) {
        server.answer(requests[static_cast<std::size_t>(i)],
                      "answer " + requests[static_cast<std::size_t>(i)]->statement);
    }
    const std::string read = client.read_answers(3);
    REQUIRE(whole_answers(read) == 3);
    CHECK(read.find("answer 1") < read.find("answer 2"));
    CHECK(read.find("answer 2") < read.find("answer 3"));
}

TEST_CASE("a request that arrives byte by byte or is split within its body is read completely", "[frontend]")
{
    running_front_end server;
    raw_client client(server.address());
    for (const char each : statement("bytes")) {
        client.write(std::string(1, each));
    }
    server.answer(server.next_request(), "whole");
    CHECK(contains(client.read_answers(1), "whole"));
    const std::string two = statement("third") + statement("fourth");
    client.write(two.substr(0, two.size() / 2 - 7));
    std::this_thread::sleep_for(20ms);
    client.write(two.substr(two.size() / 2 - 7));
    CHECK(server.next_request()->statement == "third");
    CHECK(server.next_request()->statement == "fourth");
}

TEST_CASE("a connection stays open unless the caller requests that it is closed", "[frontend]")
{
    // Pistache responds with Connection: Close unless the request has an explicit keep-alive, and yet leaves the
    // connection open.
    running_front_end server;
    raw_client kept(server.address());
    kept.write("GET /health HTTP/1.1\r\nHost: test\r\n\r\n");
    CHECK(contains(kept.read_answers(1), "Connection: Keep-Alive"));
    kept.write(get("/health", false));
    CHECK(contains(kept.read_to_end(), "Connection: Close"));
    CHECK(kept.closed());
    raw_client old(server.address());
    old.write("GET /health HTTP/1.0\r\n\r\n");
    CHECK(contains(old.read_to_end(), "Connection: Close"));
    CHECK(old.closed());
}

TEST_CASE("an answer to a disconnected caller reaches no other connection", "[frontend]")
{
    // Pistache queues writes by descriptor number, and the next caller reuses the number of the disconnected one.
    running_front_end server({.settings = {.threads = 1}});
    const std::string large(4 * 1024 * 1024, 'x');
    for (int round = 0; round < 20; ++round) {
        raw_client lost(server.address());
        lost.write(statement("lost"));
        const auto request = server.next_request();
        if (round % 2 == 0) {
            server.answer(request, large); // Still being written when the caller disconnects.
        }
        lost.reset();
        if (round % 2 == 1) {
            server.answer(request, "lost answer"); // Races with Pistache's detection of the disconnection.
        }
        raw_client other(server.address());
        other.write(get("/health"));
        const std::string read = other.read_answers(1);
        CHECK(whole_answers(read) == 1);
        CHECK(contains(read, "\"ready\":true"));
        CHECK_FALSE(contains(read, "xxx"));
        CHECK_FALSE(contains(read, "lost answer"));
        CHECK(other.read_answers(1, 5ms).empty());
    }
    raw_client lost(server.address());
    lost.write(statement("waits"));
    static_cast<void>(server.next_request());
    lost.reset();
    raw_client client(server.address());
    std::string read;
    for (int attempt = 0; attempt < 50 && !contains(read, "front_end_callers_lost_total"); ++attempt) {
        client.write(get("/metrics"));
        read = client.read_answers(1);
    }
    CHECK(contains(read, "front_end_callers_lost_total"));
}

TEST_CASE("invalid input gets a clear answer, and the connection is closed if it cannot be read further", "[frontend]")
{
    struct faulty_input {
        const char* name;
        std::string bytes;
        const char* status;
        const char* detail;
        bool closes;
    };
    const std::string header = "POST /v1/statements HTTP/1.1\r\nHost: test\r\n";
    const auto inputs = std::vector<faulty_input>{
        {"declared body too large", header + "Content-Length: 70000\r\n\r\n", "413", "too_large", true},
        {"endless header", header + "X: " + std::string(70000, 'x'), "413", "too_large", true},
        {"garbage", "\x01\x02garbage\r\n\r\n", "400", "bad_request", true},
        {"unknown method", "BREW /pot HTTP/1.1\r\n\r\n", "400", "bad_request", true},
        {"negative length", header + "Content-Length: -5\r\n\r\nabc", "4", "not_run", true},
        {"chunked", header + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400", "Transfer-Encoding", true},
        {"both lengths", header + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n", "400",
         "TransferEncoding header", true},
        {"not JSON", post("/v1/statements", "{"), "400", "the body is not JSON", false},
        {"wrong type", post("/v1/statements", R"({"tenant":1,"class":"c","group":"g","kind":"read","statement":"s"})"),
         "400", "tenant: found 1, allowed: a string", false},
        {"unknown key",
         post("/v1/statements", R"({"tenant":"t","class":"c","group":"g","kind":"read","statement":"s","x":1})"), "400",
         "x: found an unknown key", false},
        {"write without id",
         post("/v1/statements", R"({"tenant":"t","class":"c","group":"g","kind":"write","statement":"s"})"), "400",
         "request_id: found nothing", false},
        {"commit without id", post("/v1/transactions/17/commit", "{}"), "400", "request_id: found nothing", false},
        {"unknown resource", get("/v2"), "400", "no such resource: GET /v2", false},
    };
    running_front_end server;
    for (const faulty_input& each : inputs) {
        raw_client client(server.address());
        client.write(each.bytes);
        const std::string read = each.closes ? client.read_to_end() : client.read_answers(1);
        INFO(each.name << ": " << read);
        CHECK(contains(read, std::string("HTTP/1.1 ") + each.status));
        CHECK(contains(read, each.detail));
        CHECK(whole_answers(read) == 1);
        CHECK(client.closed() == each.closes);
    }
    CHECK(metrics_show(server.address(), "front_end_refused_total{kind=\"too_large\"} 2"));
}

TEST_CASE("a slow sender gets status 408 and is disconnected, but a slow answer is waited for", "[frontend]")
{
    // Pistache's header timeout sends status 408 for a request that is being executed, although it may take effect
    // later.
    running_front_end server({.bounds = {.receive_timeout = 300ms, .linger = 200ms}});
    raw_client header(server.address());
    raw_client body(server.address());
    raw_client waiting(server.address());
    header.write("POST /v1/sta");
    body.write("POST /v1/statements HTTP/1.1\r\nContent-Length: 500\r\n\r\nabc");
    waiting.write(statement("long"));
    const auto request = server.next_request();
    for (raw_client* slow : {&header, &body}) {
        CHECK(contains(slow->read_to_end(2s), "HTTP/1.1 408"));
        CHECK(slow->closed());
    }
    CHECK(waiting.read_answers(1, 1s).empty());
    CHECK_FALSE(waiting.closed());
    server.answer(request, "long answer");
    CHECK(contains(waiting.read_answers(1), "long answer"));
    CHECK(metrics_show(server.address(), "front_end_slow_senders_total 2"));
}

TEST_CASE("idle connections are closed after the keep-alive timeout", "[frontend]")
{
    running_front_end server({.bounds = {.keep_alive_timeout = 300ms, .linger = 100ms}});
    raw_client silent(server.address());
    raw_client used(server.address());
    used.write(get("/health"));
    CHECK(whole_answers(used.read_answers(1)) == 1);
    CHECK(silent.read_to_end(2s).empty());
    CHECK(silent.closed());
    CHECK(used.read_to_end(2s).empty());
    CHECK(used.closed());
}

TEST_CASE("an incomplete large body does not block other callers", "[frontend]")
{
    running_front_end server({.settings = {.threads = 1, .max_request_bytes = 8 * 1024 * 1024}});
    raw_client stalled(server.address());
    stalled.write("POST /v1/statements HTTP/1.1\r\nContent-Length: 6000000\r\n\r\n" + std::string(5'000'000, ' '));
    for (int i = 0; i < 20; ++i) {
        raw_client fresh(server.address());
        fresh.write(statement("fresh"));
        server.answer(server.next_request(), "served");
        CHECK(contains(fresh.read_answers(1), "served"));
    }
    stalled.write(std::string(1'000'000, ' '));
    CHECK(contains(stalled.read_answers(1), "the body is not JSON"));
}

TEST_CASE("an answer that cannot be sent closes the connection and is counted", "[frontend]")
{
    running_front_end server({.max_response_bytes = 4096});
    raw_client client(server.address());
    client.write(statement("big"));
    server.answer(server.next_request(), std::string(100'000, 'x'));
    CHECK(client.read_to_end().empty());
    CHECK(client.closed());
    CHECK(metrics_show(server.address(), "front_end_rejected_sends_total 1"));
}

TEST_CASE("a caller that pipelines too many requests is refused before it fills the rings", "[frontend]")
{
    running_front_end server;
    raw_client client(server.address());
    std::string many;
    for (int i = 0; i < 40; ++i) {
        many += statement(std::to_string(i));
    }
    client.write(many);
    std::vector<caller_request> requests;
    for (int i = 0; i < 32; ++i) {
        requests.push_back(server.next_request());
        CHECK(requests.back()->statement == std::to_string(i));
    }
    CHECK(metrics_show(server.address(), "front_end_refused_total{kind=\"overloaded\"} 1"));
    for (const caller_request& request : requests) {
        server.answer(request, request->statement);
    }
    const std::string read = client.read_to_end();
    CHECK(client.closed());
    CHECK(whole_answers(read) == 33);
    CHECK(contains(read, "too many requests wait"));
}

TEST_CASE("shutting down waits for answers that are being written", "[frontend]")
{
    // Endpoint::shutdown() aborts connections, so an answer that Pistache has only queued would be lost.
    running_front_end server;
    raw_client client(server.address());
    client.write(statement("large"));
    server.answer(server.next_request(), std::string(8 * 1024 * 1024, 'x'));
    std::string read;
    std::thread reader([&] {
        std::this_thread::sleep_for(200ms);
        read = client.read_answers(1);
    });
    server.finish();
    reader.join();
    CHECK(whole_answers(read) == 1);
}

TEST_CASE("shutting down does not wait for a caller that does not read", "[frontend]")
{
    // Endpoint::shutdown() busy-waits until the answer is written; the daemon allows 2 s for it.
    running_front_end server;
    raw_client client(server.address());
    client.write(statement("large"));
    server.answer(server.next_request(), std::string(12 * 1024 * 1024, 'x'));
    std::this_thread::sleep_for(200ms);
    const auto start = std::chrono::steady_clock::now();
    server.finish();
    CHECK(std::chrono::steady_clock::now() - start < 10s);
}
