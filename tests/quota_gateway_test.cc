#include "platform/gateway_settings_reader.h"
#include "support/gateway_simulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace citronfall;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t daemon_total = 4;
constexpr double limited_rate = 40; ///< Operations a second of the tenant "limited", and its burst.

/// Four daemons, two tenants, and a session of each tenant on every daemon.
struct quota_world {
    quota_world() : world({.daemons = daemon_total, .keys = keys()})
    {
        world.run(8s); // The locks are held, and the daemons have parts of their own.
        for (std::size_t daemon = 0; daemon < daemon_total; ++daemon) {
            limited.push_back(world.open(daemon, "own", "key-l"));
            other.push_back(world.open(daemon, "own", "key-o"));
        }
        world.run(20ms);
    }

    static std::map<std::string, std::string> keys()
    {
        return {{"limited", "key-l@" + std::to_string(static_cast<int>(limited_rate))}, {"other", "key-o"}};
    }

    /// Sends a read of each session in `sessions` every 20 ms.
    void ask(const std::vector<session_number>& sessions, duration length)
    {
        for (const instant end = world.now() + length; world.now() < end;) {
            for (std::size_t daemon = 0; daemon < sessions.size(); ++daemon) {
                if (world.unanswered(daemon, sessions[daemon]) == 0) {
                    world.send(daemon, sessions[daemon], "READ x");
                }
            }
            world.run(20ms);
        }
    }

    /// When the reads of the sessions were answered, in order: those that were served, and the details of the others.
    std::pair<std::vector<instant>, std::vector<error>> outcomes(const std::vector<session_number>& sessions)
    {
        std::pair<std::vector<instant>, std::vector<error>> found;
        for (std::size_t daemon = 0; daemon < sessions.size(); ++daemon) {
            for (const auto& each : world.replies(daemon, sessions[daemon])) {
                if (const auto* reply = std::get_if<statement_reply>(&each.reply)) {
                    if ((*reply)->failure) {
                        found.second.push_back(*(*reply)->failure);
                    } else {
                        found.first.push_back(each.at);
                    }
                }
            }
        }
        std::sort(found.first.begin(), found.first.end());
        return found;
    }

    gateway_simulation world;
    std::vector<session_number> limited;
    std::vector<session_number> other;
};

/// Most of the times that lie within `window` of each other.
std::size_t busiest(const std::vector<instant>& times, duration window)
{
    std::size_t most = 0;
    std::size_t end = 0;
    for (std::size_t begin = 0; begin < times.size(); ++begin) {
        while (end < times.size() && times[end] <= times[begin] + window) {
            ++end;
        }
        most = std::max(most, end - begin);
    }
    return most;
}

} // namespace

TEST_CASE("a tenant's operations over all daemons stay within its quota", "[quota]")
{
    // Guards against daemons that each allow the whole quota: four times 50 operations a second are asked for.
    quota_world quota;
    quota.ask(quota.limited, 12s);
    quota.ask(quota.limited, 8s);
    const auto [served, refused] = quota.outcomes(quota.limited);
    // Answers come some milliseconds after the admission: a window of answers lies in one of admissions.
    CHECK(busiest(served, 4900ms) <= limited_rate * 5 + limited_rate);
    CHECK(static_cast<double>(served.size()) >= limited_rate * 20 * 0.6); // Its usual load.
    REQUIRE_FALSE(refused.empty());
    for (const error& each : refused) {
        CHECK(each->kind == error_kind::limit_reached);
        CHECK(each->detail.find("retry_after_ms=") != std::string::npos);
    }
}

TEST_CASE("a tenant without a limit is not refused beside one over its quota", "[quota]")
{
    quota_world quota;
    std::vector<session_number> all = quota.limited;
    for (int i = 0; i < 100; ++i) {
        quota.ask(quota.limited, 20ms);
        quota.ask(quota.other, 20ms);
    }
    CHECK(quota.outcomes(quota.other).second.empty());
    CHECK_FALSE(quota.outcomes(quota.limited).second.empty());
}

TEST_CASE("a quota is granted again after the daemons that hold it have been killed", "[quota]")
{
    // Guards against locks that nobody claims, and holders that start with what has been granted already.
    quota_world quota;
    quota.ask(quota.limited, 5s);
    for (std::size_t daemon = 1; daemon < daemon_total; ++daemon) {
        quota.world.restart_daemon(daemon);
    }
    quota.ask({quota.limited[0]}, 15s);
    const auto [served, refused] = quota.outcomes({quota.limited[0]});
    CHECK(busiest(served, 4900ms) <= limited_rate * 5 + limited_rate);
    const instant last_seconds = quota.world.now() - 5s;
    const auto recent = std::count_if(served.begin(), served.end(), [&](instant at) { return at > last_seconds; });
    CHECK(static_cast<double>(recent) >= limited_rate * 5 * 0.6);
}

TEST_CASE("a statement that waits for a quota ends with its caller", "[quota]")
{
    // Guards against an answer to a caller that has left, and against a wait without end while peers are silent.
    quota_world quota;
    quota.ask(quota.limited, 6s);
    for (std::size_t daemon = 0; daemon < daemon_total; ++daemon) {
        quota.world.cut_peers(daemon, true);
    }
    for (std::size_t daemon = 0; daemon < daemon_total; ++daemon) {
        quota.world.send(daemon, quota.limited[daemon], "READ x");
    }
    quota.world.disconnect(0, quota.limited[0]);
    quota.world.run(300ms);
    for (std::size_t daemon = 1; daemon < daemon_total; ++daemon) {
        CHECK(quota.world.unanswered(daemon, quota.limited[daemon]) == 0);
    }
}

TEST_CASE("the statements of a transaction count as one operation", "[quota]")
{
    quota_world quota;
    std::size_t failures = 0;
    for (int transaction = 0; transaction < 20; ++transaction) {
        for (const char* text : {"BEGIN READ", "READ a", "READ b", "READ c", "READ d", "COMMIT"}) {
            const auto reply = quota.world.execute(0, quota.limited[0], text);
            failures += !reply || (*reply)->failure ? 1 : 0;
        }
        quota.world.run(60ms); // About 15 a second, of 40.
    }
    CHECK(failures == 0);
}

TEST_CASE("the window of quotas and what may exceed them are read from the settings", "[quota]")
{
    const std::string before =
        R"({"daemon":{"name":"a","region":"r","data_center":"d"},"callers":{"address":"127.0.0.1:1"},)"
        R"("probe":{"address":"127.0.0.1:2","path":"/p"},"store":{"address":"127.0.0.1:3"})";
    const auto read =
        platform::gateway_settings_reader::read(before + R"(,"quota":{"window_s":2.5,"overage":0.2,"slack":7}})");
    REQUIRE(std::holds_alternative<gateway_settings>(read));
    const auto& settings = std::get<gateway_settings>(read);
    CHECK(settings->quota_window == 2500ms);
    CHECK(settings->quota_overage == 0.2);
    CHECK(settings->quota_slack == 7);
    const auto without = platform::gateway_settings_reader::read(before + R"(,"quota":{}})");
    REQUIRE(std::holds_alternative<gateway_settings>(without));
    CHECK(std::get<gateway_settings>(without)->quota_window == 5s);
    const auto wrong = platform::gateway_settings_reader::read(before + R"(,"quota":{"window_s":0}})");
    CHECK(std::holds_alternative<std::vector<json_problem>>(wrong));
}
