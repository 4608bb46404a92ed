#include "http/http_client.h"
#include "kv_service/http_platform.h"
#include "standin/http_server.h"
#include "standin/platform_server.h"

#include <thread>

#include <catch2/catch.hpp>

using namespace citronfall;
using std::chrono::milliseconds;

namespace {

constexpr const char* service_address = "127.0.0.1:24950";
constexpr const char* admin_endpoint = "127.0.0.1:24951";

/// A stand-in platform on its own thread, and hooks that call it.
class running_platform {
public:
    running_platform()
        : server_(take(standin::platform_server::make(
              loop_, {.address = service_address, .admin_address = admin_endpoint, .instances = {"127.0.0.1:24952"}}))),
          hooks(take(make_http_platform({.address = service_address}))), thread_([this] { loop_.run(); })
    {
    }

    ~running_platform()
    {
        loop_.stop();
        thread_.join();
    }

    void call_admin(const std::string& verb)
    {
        auto client = take(http_client::make({.address = admin_endpoint}));
        REQUIRE(ok(client.call(http_request{{.method = "POST", .target = verb}}, in(2000))));
    }

    static instant in(int ms) { return steady_now() + milliseconds(ms); }

private:
    standin::http_server loop_;
    std::unique_ptr<standin::platform_server> server_;

public:
    platform_hooks hooks;

private:
    std::thread thread_;
};

template <class T>
std::optional<error_kind> failure(const result<T>& outcome)
{
    return ok(outcome) ? std::nullopt : std::optional(error_of(outcome)->kind);
}

struct contract_row {
    const char* name;
    std::vector<std::string> faults; ///< Administration calls that inject the faults.
    int deadline_ms;
    bool answered;
};

} // namespace

// Guards against a call that exceeds its deadline, or that reports no effect although it may have had one.
TEST_CASE("each platform call ends in time with the right error kind under each fault", "[platform]")
{
    running_platform platform;
    const auto& hooks = platform.hooks;
    const auto rows = std::vector<contract_row>{{"well", {}, 2000, true},
                                                {"delay within the deadline", {"/delay/50"}, 2000, true},
                                                {"delay beyond the deadline", {"/delay/400"}, 100, false},
                                                {"outage", {"/outage/on"}, 100, false},
                                                {"well again", {}, 2000, true}};
    int number = 0;
    for (const contract_row& row : rows) {
        INFO(row.name);
        for (const std::string& fault : row.faults) {
            platform.call_admin(fault);
        }
        const std::string key = "k" + std::to_string(++number);
        const auto timed = [&row](const auto& call) {
            const instant start = steady_now();
            const auto kind = call(start + milliseconds(row.deadline_ms));
            CHECK(steady_now() - start < milliseconds(row.deadline_ms + 500));
            CHECK(kind == (row.answered ? std::nullopt : std::optional(error_kind::outcome_unknown)));
        };
        timed([&](instant deadline) { return failure(hooks.kv_read(key, deadline)); });
        timed([&](instant deadline) { return failure(hooks.kv_compare_and_swap(key, 0, "v", deadline)); });
        timed([&](instant deadline) { return failure(hooks.kv_lease(key, "me", milliseconds(50), deadline)); });
        timed([&](instant deadline) { return failure(hooks.instance_list(deadline)); });
        platform.call_admin("/delay/0");
        platform.call_admin("/outage/off");
        std::this_thread::sleep_for(milliseconds(450)); // Lets delayed calls take effect before the next row.
    }
    // The delayed write, whose outcome was reported as unknown, took effect.
    CHECK(value_of(hooks.kv_read("k3", running_platform::in(2000)))->value == "v");
}

// Guards against misinterpreting lost responses, revision conflicts, expired leases and watches that time out.
TEST_CASE("lost responses, conflicts, expired leases and watches fulfil the contract", "[platform]")
{
    running_platform platform;
    const auto& hooks = platform.hooks;
    const auto in = running_platform::in;

    platform.call_admin("/lose_answers/1");
    CHECK(failure(hooks.kv_compare_and_swap("document", 0, "nonce-1", in(100))) == error_kind::outcome_unknown);
    const auto read_back = hooks.kv_read("document", in(2000));
    REQUIRE(ok(read_back));
    CHECK(value_of(read_back)->value == "nonce-1");
    const kv_revision revision = value_of(read_back)->revision;
    CHECK(failure(hooks.kv_compare_and_swap("document", 0, "other", in(2000))) == error_kind::conflict);
    CHECK(value_of(hooks.kv_read("nothing", in(2000)))->revision == 0);

    CHECK(value_of(hooks.kv_lease("watchers-r-0", "one", milliseconds(150), in(2000))));
    CHECK_FALSE(value_of(hooks.kv_lease("watchers-r-0", "two", milliseconds(150), in(2000))));
    std::this_thread::sleep_for(milliseconds(200));
    CHECK(value_of(hooks.kv_lease("watchers-r-0", "two", milliseconds(2000), in(2000))));
    CHECK_FALSE(value_of(hooks.kv_lease("watchers-r-0", "one", milliseconds(150), in(2000))));

    const instant start = steady_now();
    const auto unchanged = hooks.kv_watch("document", revision, in(400));
    REQUIRE(ok(unchanged));
    CHECK(value_of(unchanged)->revision == revision);
    CHECK(steady_now() - start >= milliseconds(200));
    std::thread writer([&in] {
        std::this_thread::sleep_for(milliseconds(100));
        const auto other = take(make_http_platform({.address = service_address}));
        static_cast<void>(other.kv_compare_and_swap("document", 1, "nonce-2", in(2000)));
    });
    const auto changed = hooks.kv_watch("document", revision, in(5000));
    writer.join();
    REQUIRE(ok(changed));
    CHECK(value_of(changed)->value == "nonce-2");
    CHECK(steady_now() - start < milliseconds(3000));
    CHECK(value_of(hooks.instance_list(in(2000))) == std::vector<std::string>{"127.0.0.1:24952"});
}
