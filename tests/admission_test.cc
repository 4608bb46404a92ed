#include "admission/admission_control.h"
#include "admission/request_deduplicator.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

using namespace citronfall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const member_key member{{.group = "g", .member = "a"}};

class_config class_of(const std::string& tenant, const std::string& name, std::uint32_t weight, cost_class cost)
{
    return class_config{{.tenant = tenant, .name = name, .cost = cost, .weight = weight, .in_flight = 100'000}};
}

operator_config test_config()
{
    operator_config_fields fields;
    fields.groups["g"] = group_config{{.name = "g", .connections_per_member = 20, .slots_per_member = 3}};
    fields.tenants["x"] = tenant_config{{.name = "x", .weight = 1, .in_flight = 100'000}};
    fields.tenants["y"] = tenant_config{{.name = "y", .weight = 3, .in_flight = 100'000}};
    for (const std::string tenant : {"x", "y"}) {
        fields.classes[tenant]["booking"] = class_of(tenant, "booking", 4, cost_class::short_request);
        fields.classes[tenant]["report"] = class_of(tenant, "report", 1, cost_class::long_request);
        fields.classes[tenant]["silent"] = class_of(tenant, "silent", 1, cost_class::short_request);
    }
    return operator_config{fields};
}

/// Admission control with an injected clock and a member whose requests end when the test says so.
struct admission_fixture {
    operator_config config = test_config();
    std::uint32_t connections = 20;
    instant now{};
    request_handle last = 0;
    std::map<request_handle, class_key> keys;
    admission_control control{{.config = [this]() -> const operator_config& { return config; },
                               .connections =
                                   [this](const member_key&) {
                                       return connections;
                                   }}};

    std::optional<refusal> offer(const std::string& tenant, const std::string& name, duration deadline = seconds(2))
    {
        const caller_request request{
            {.handle = ++last, .tenant = tenant, .class_name = name, .group = "g", .deadline = now + deadline}};
        auto refused = control.admit(request, member, now);
        if (!refused) {
            keys[last] = class_key{{.tenant = tenant, .class_name = name}};
            control.enqueue(request, member, now);
        }
        return refused;
    }

    void end(request_handle handle)
    {
        control.finished(handle, now);
        control.ended(handle, now);
    }

    /// Runs requests of a class one at a time, so that the cost of the class is measured.
    void measure(const std::string& tenant, const std::string& name, duration service, int times = 10)
    {
        for (int i = 0; i < times; ++i) {
            REQUIRE_FALSE(offer(tenant, name, seconds(60)));
            const auto handle = control.take(member, now);
            REQUIRE(handle);
            now += service;
            end(*handle);
        }
    }
};

} // namespace

TEST_CASE("tenants and classes get capacity by weight", "[admission]")
{
    // Guards against serving in order of arrival, which would give tenant x four fifths of the capacity.
    admission_fixture test;
    for (int i = 0; i < 400; ++i) {
        REQUIRE_FALSE(test.offer("x", "booking", seconds(600)));
    }
    for (int i = 0; i < 100; ++i) {
        REQUIRE_FALSE(test.offer("y", "booking", seconds(600)));
        REQUIRE_FALSE(test.offer("y", "silent", seconds(600)));
    }
    std::map<class_key, int> served;
    for (int i = 0; i < 80; ++i) {
        const auto handle = test.control.take(member, test.now);
        REQUIRE(handle);
        ++served[test.keys[*handle]];
        test.now += milliseconds(2);
        test.end(*handle);
    }
    CHECK(served[class_key{{"x", "booking"}}] == Approx(20).margin(2));
    CHECK(served[class_key{{"y", "booking"}}] == Approx(48).margin(2));
    CHECK(served[class_key{{"y", "silent"}}] == Approx(12).margin(2));
}

TEST_CASE("a request that cannot be served in time is refused at once", "[admission]")
{
    // Guards against queues that only their length bounds: 4,096 requests are 2.7 s of work here.
    admission_fixture test;
    test.measure("x", "booking", milliseconds(2));
    int admitted = 0;
    std::optional<refusal> refused;
    while (!refused && admitted < 4096) {
        refused = test.offer("x", "booking", milliseconds(300));
        admitted += refused ? 0 : 1;
    }
    REQUIRE(refused);
    CHECK((*refused)->kind == error_kind::overloaded);
    CHECK((*refused)->retry_after >= milliseconds(100));
    // Three concurrent requests of 2 ms each, for 300 ms.
    CHECK(admitted <= 450);
    CHECK(admitted >= 225);
    // A class with a share of its own is not refused because another tenant's queue is long.
    CHECK_FALSE(test.offer("y", "booking", milliseconds(300)));
}

TEST_CASE("refusals are distributed by weight", "[admission]")
{
    // Guards against refusing in order of arrival: both tenants send the same load, and y has three times the weight of
    // x.
    admission_fixture test;
    test.measure("x", "booking", milliseconds(2));
    test.measure("y", "booking", milliseconds(2));
    std::map<std::string, int> served;
    std::multimap<instant, request_handle> running;
    const instant end = test.now + seconds(5);
    for (instant arrival = test.now; arrival < end;
         arrival += duration(100)) { // 20,000 requests/s against a capacity of 1,500/s.
        test.now = arrival;
        while (!running.empty() && running.begin()->first <= test.now) {
            const request_handle handle = running.begin()->second;
            running.erase(running.begin());
            ++served[test.keys[handle]->tenant];
            test.end(handle);
        }
        static_cast<void>(test.offer("x", "booking"));
        static_cast<void>(test.offer("y", "booking"));
        while (running.size() < 3) {
            const auto handle = test.control.take(member, test.now);
            if (!handle) {
                break;
            }
            running.emplace(test.now + milliseconds(2), *handle);
        }
    }
    CHECK(static_cast<double>(served["y"]) / served["x"] == Approx(3).epsilon(0.05));
    CHECK(served["x"] + served["y"] >= 0.95 * 1500 * 5);
}

TEST_CASE("limits of tenants and classes hold and give a retry delay", "[admission]")
{
    struct row {
        std::uint32_t tenant_rate, class_rate, tenant_in_flight, class_in_flight;
        int admitted; // Of 100 requests at one instant.
    };
    const row rows[] = {
        {0, 0, 1000, 1000, 100}, {200, 0, 1000, 1000, 20}, {0, 100, 1000, 1000, 10},
        {0, 0, 7, 1000, 7},      {0, 0, 1000, 5, 5},       {5, 0, 1000, 1000, 1},
    };
    for (const row& each : rows) {
        admission_fixture test;
        test.config = with(test.config, [&](operator_config_fields& fields) {
            fields.tenants["x"] = tenant_config{
                {.name = "x", .requests_per_second = each.tenant_rate, .in_flight = each.tenant_in_flight}};
            fields.classes["x"]["booking"] = class_config{{.tenant = "x",
                                                           .name = "booking",
                                                           .requests_per_second = each.class_rate,
                                                           .in_flight = each.class_in_flight}};
        });
        int admitted = 0;
        for (int i = 0; i < 100; ++i) {
            const auto refused = test.offer("x", "booking", seconds(60));
            admitted += refused ? 0 : 1;
            CHECK((!refused || ((*refused)->kind == error_kind::limit_reached && (*refused)->retry_after.count() > 0)));
        }
        CHECK(admitted == each.admitted);
        // Requests that ended no longer count.
        while (const auto handle = test.control.take(member, test.now)) {
            test.end(*handle);
        }
        test.now += seconds(1);
        CHECK_FALSE(test.offer("x", "booking", seconds(60)));
    }
}

TEST_CASE("long requests leave capacity to short ones, by declared and by measured cost", "[admission]")
{
    for (const std::string long_class : {"report", "silent"}) {
        INFO(long_class);
        admission_fixture test;
        test.measure("x", "booking", milliseconds(2));
        test.measure("x", long_class, milliseconds(400));
        for (int i = 0; i < 10; ++i) {
            REQUIRE_FALSE(test.offer("x", long_class, seconds(60)));
            REQUIRE_FALSE(test.offer("x", "booking", seconds(60)));
        }
        std::set<request_handle> long_ones;
        while (const auto handle = test.control.take(member, test.now)) {
            if (test.keys[*handle]->class_name == long_class) {
                long_ones.insert(*handle);
            } else {
                test.end(*handle);
            }
        }
        // 34% of three slots is one.
        CHECK(long_ones.size() == 1);
    }
}

TEST_CASE("a request that runs unexpectedly long counts as long while it runs", "[admission]")
{
    // Guards against a mislabelled class: its first long requests would take all capacity before the cost of the class
    // is measured.
    admission_fixture test;
    test.measure("x", "booking", milliseconds(2));
    REQUIRE_FALSE(test.offer("x", "silent", seconds(60)));
    REQUIRE(test.control.take(member, test.now));
    test.now += milliseconds(150);
    REQUIRE_FALSE(test.offer("x", "report", seconds(60)));
    CHECK_FALSE(test.control.take(member, test.now));
}

TEST_CASE("a long request does not starve behind short ones if there is a single connection", "[admission]")
{
    admission_fixture test;
    test.connections = 1;
    test.measure("x", "booking", milliseconds(2));
    REQUIRE_FALSE(test.offer("x", "report", seconds(20)));
    const request_handle report = test.last;
    const instant begin = test.now;
    bool ran = false;
    while (!ran && test.now < begin + seconds(20)) {
        REQUIRE_FALSE(test.offer("x", "booking"));
        const auto handle = test.control.take(member, test.now);
        REQUIRE(handle);
        ran = *handle == report;
        test.now += milliseconds(2);
        test.end(*handle);
    }
    CHECK(ran);
}

TEST_CASE("the concurrency limit falls if a member slows down and rises if it recovers", "[admission]")
{
    // Guards against overloading a slow member, whose latency grows with the number of requests that run there. The
    // capacity falls from three slots of 2 ms to one of 10 ms.
    concurrency_limit limit(3);
    const class_key key{{"x", "booking"}};
    instant now{};
    const auto run = [&](duration service, std::uint32_t slots, duration length) {
        for (const instant end = now + length; now < end;) {
            const std::uint32_t running = limit.value();
            const duration latency = service * std::max(running, slots) / slots;
            now += latency;
            for (std::uint32_t i = 0; i < running; ++i) {
                limit.record(key, latency, true, now);
            }
        }
    };
    run(milliseconds(2), 3, seconds(2));
    CHECK(limit.value() >= 3);
    CHECK(limit.value() <= 6);
    run(milliseconds(10), 1, seconds(2));
    CHECK(limit.value() <= 2);
    run(milliseconds(2), 3, seconds(2));
    CHECK(limit.value() >= 3);
}

TEST_CASE("a rising arrival rate asks for connections in advance", "[admission]")
{
    // Guards against opening connections only once requests wait for them.
    admission_fixture test;
    test.measure("x", "booking", milliseconds(2));
    test.now = instant{seconds(2)}; // The start of a window of the forecast.
    const auto arrive = [&](int count) {
        for (int i = 0; i < count; ++i) {
            const caller_request request{{.handle = ++test.last,
                                          .tenant = "x",
                                          .class_name = "booking",
                                          .group = "g",
                                          .deadline = test.now + seconds(2)}};
            static_cast<void>(test.control.admit(request, member, test.now));
            test.now += duration(50'000 / count);
        }
    };
    CHECK(test.control.expected_connections(member, test.now) == 0);
    arrive(20); // 400 requests/s of 2 ms each keep 0.8 connections busy.
    arrive(20);
    CHECK(test.control.expected_connections(member, test.now) == 1);
    arrive(40); // Twice the rate: 1.6 connections now, 2.4 expected next.
    CHECK(test.control.expected_connections(member, test.now) == 3);
    test.now += seconds(1);
    CHECK(test.control.expected_connections(member, test.now) == 0);
}

TEST_CASE("repeated attempts share the answer of the first and do not multiply the load", "[admission]")
{
    request_deduplicator table;
    const auto attempt = [](request_handle handle, const std::string& id, instant deadline) {
        return caller_request{{.handle = handle,
                               .tenant = "x",
                               .group = "g",
                               .kind = statement_kind::write,
                               .request_id = id,
                               .deadline = deadline}};
    };
    const instant start{};
    CHECK(table.first(attempt(1, "b", start + seconds(5))));
    CHECK_FALSE(table.first(attempt(2, "b", start + seconds(1))));
    CHECK_FALSE(table.first(attempt(3, "b", start + seconds(9))));
    CHECK(table.first(attempt(4, "", start + seconds(9))));
    CHECK(table.first(attempt(5, "", start + seconds(9))));
    // Guards against answering a read with the result of another session's read.
    const caller_request read{{.handle = 8, .tenant = "x", .group = "g", .request_id = "b"}};
    CHECK(table.first(read));
    // A follower whose own deadline passes first must still be answered.
    CHECK_FALSE(table.take_expired(start));
    const auto expired = table.take_expired(start + seconds(1));
    REQUIRE(expired);
    CHECK((*expired)->handle == 2);
    const auto followers = table.ended(attempt(1, "b", start + seconds(5)));
    REQUIRE(followers.size() == 1);
    CHECK(followers.front()->handle == 3);
    CHECK(table.followers() == 0);
    CHECK(table.first(attempt(6, "b", start + seconds(9))));
    table.refused(attempt(6, "b", start), milliseconds(100), start);
    CHECK(table.remaining_backoff(attempt(7, "b", start), start + milliseconds(40)) ==
          std::optional<duration>(milliseconds(60)));
    CHECK_FALSE(table.remaining_backoff(attempt(7, "b", start), start + milliseconds(100)));
}
