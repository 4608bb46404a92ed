#include "load/load_client.h"
#include "load/load_simulation.h"
#include "standin/free_port.h"
#include "standin/http_server.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace citronfall;
using namespace citronfall::load;
using namespace std::chrono_literals;

namespace {

load_simulation_options load_peak(std::uint64_t seed, std::uint32_t connections, duration connect_time)
{
    return {.seed = seed,
            .connections = connections,
            .connect_time = connect_time,
            .classes =
                {{.name = "booking", .share = 5, .deadline = 2s, .weight = 4},
                 {.name = "roster", .share = 4, .deadline = 1s, .weight = 3},
                 {.name = "report", .share = 1, .service = 400ms, .deadline = 30s, .weight = 1, .declared_long = true}},
            .demand =
                [](duration since) {
                    const double seconds = std::chrono::duration<double>(since).count();
                    return seconds < 2 ? 0.5 : seconds < 4 ? 0.5 + (seconds - 2) / 2 * 9.5 : 10;
                },
            .length = 10s,
            .measure_from = 4s};
}

} // namespace

TEST_CASE("goodput does not collapse under ten times the capacity", "[load]")
{
    // Guards against admitting requests that miss their deadline, and against idle slots while requests are queued.
    for (const auto& [connections, connect_time] : {std::pair(20U, 10ms), std::pair(35U, 30ms)}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            INFO("connections " << connections << ", seed " << seed);
            auto results = simulate_load(load_peak(seed, connections, connect_time));
            CHECK(goodput(results, 3, 6s) >= 0.95);
            CHECK(results["booking"].latency.quantile(0.99) <= 2s);
            CHECK(results["roster"].latency.quantile(0.99) <= 1s);
            CHECK(results["booking"].refused > 0);
            CHECK(results["report"].in_time > 0); // Long requests yield to short ones, but do not starve.
        }
    }
}

TEST_CASE("long requests raise the p99 of short ones by at most a fifth", "[load]")
{
    // Guards against long requests in all slots. A long class that is not declared as such is recognised by its
    // measured cost.
    for (const bool declared : {true, false}) {
        INFO("declared " << declared);
        load_simulation_options options{.connections = 20,
                                        .connect_time = 10ms,
                                        .classes = {{.name = "short", .share = 0.2, .deadline = 2s, .weight = 4}},
                                        .demand = [](duration) { return 0.2; },
                                        .length = 40s,
                                        .measure_from = 10s};
        // Latency as a caller at Kapot sees it, 3 ms away from the proxy.
        const duration caller = 6ms;
        const duration without = simulate_load(options)["short"].latency.quantile(0.99) + caller;
        options.classes.push_back({.name = "long",
                                   .share = 1.0 / 3,
                                   .service = 400ms,
                                   .deadline = 30s,
                                   .weight = 1,
                                   .declared_long = declared});
        options.demand = [](duration) {
            return 0.2 + 1.0 / 3;
        };
        const duration with = simulate_load(options)["short"].latency.quantile(0.99) + caller;
        CHECK(static_cast<double>(with.count()) <= 1.2 * static_cast<double>(without.count()));
    }
}

TEST_CASE("the latency of a load client includes the time that requests wait for a slow server", "[load]")
{
    // Guards against coordinated omission: a client that sends only after an answer would measure 20 ms for each
    // request.
    standin::http_server server;
    const std::string address = "127.0.0.1:" + std::to_string(standin::free_port());
    duration busy{};
    REQUIRE(ok(
        server.listen({.address = address,
                       .handle = [&](standin::session_number, const http_request&, const standin::reply_hook& reply) {
                           busy += 20ms;
                           server.after(busy, [&busy, reply] {
                               reply(http_reply{{.status = 200, .body = R"({"outcome":"done"})"}});
                           });
                       }})));
    std::thread serving([&] { server.run(); });
    const auto results = run_load_client(
        {.targets = {address}, .classes = {{.tenant = "t", .name = "c"}}, .rate = 100, .length = 1s, .deadline = 10s});
    server.stop();
    serving.join();
    REQUIRE(ok(results));
    const load_client_result& result = value_of(results).at("c");
    CHECK(result.done == result.sent);
    CHECK(result.latency.quantile(0.99) >= 500ms);
}

TEST_CASE("a load client sends to loopback only", "[load]")
{
    CHECK_FALSE(ok(run_load_client({.targets = {"192.0.2.1:80"}, .classes = {{.tenant = "t", .name = "c"}}})));
}
