#include "config_check/configuration_check.h"
#include "config_check/configuration_difference.h"
#include "config_check/configuration_summary.h"
#include "ctl/check_config_command.h"
#include "gateway/configuration_summary_json.h"
#include "platform/configuration_document_reader.h"

#include <algorithm>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

using namespace citronfall;

namespace {

/// Text of a file in tests/config_check, each of which has one finding; "clean" has none.
std::string file_text(const std::string& name)
{
    std::ifstream file(CITRONFALL_SOURCE_DIR "/tests/config_check/" + name + ".json");
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

configuration_document read(const std::string& name)
{
    return platform::read_configuration_document(file_text(name));
}

/// Runs the command with files in memory and a daemon that gives one reply.
struct command_fixture {
    check_exit_code run(tool_arguments arguments)
    {
        out.str("");
        err.str("");
        const tool_context context{
            .call_daemon = [this](const http_request& request) -> result<http_reply> {
                asked = request->target;
                if (!reply) {
                    return error{{.kind = error_kind::connect_failed, .detail = "no daemon"}};
                }
                return *reply;
            },
            .platform = {},
            .read_file = [](const std::string& name) -> std::optional<std::string> {
                return name == "none" ? std::nullopt : std::optional(file_text(name));
            },
            .wall_ms = [] { return std::int64_t{0}; },
            .nonce = [] { return std::string("n"); },
            .pause = [](duration) {},
            .read_configuration = [](const std::string& text) { return platform::read_configuration_document(text); },
            .out = out,
            .err = err};
        return static_cast<check_exit_code>(run_check_config_command(context, arguments));
    }

    std::optional<http_reply> reply;
    std::string asked;
    std::ostringstream out;
    std::ostringstream err;
};

} // namespace

TEST_CASE("each finding is reported with its key and line, and nothing else", "[config_check]")
{
    // Guards against a check that stays silent, points at the wrong place or blames what is right.
    struct expected {
        const char* file;
        finding_severity severity;
        finding_kind kind;
        const char* key;
        std::size_t line;
    };
    const auto error = finding_severity::error;
    const auto warning = finding_severity::warning;
    for (const expected& each : {
             expected{"invalid_field", error, finding_kind::invalid_field, "Routes[1].Type", 16},
             expected{"duplicate_name", error, finding_kind::duplicate_name, "Tenants[2].Name", 53},
             expected{"duplicate_database", error, finding_kind::duplicate_database, "Routes[1].Host", 15},
             expected{"unlisted_service", error, finding_kind::unlisted_service, "Routes[1].Service", 21},
             expected{"unused_service", warning, finding_kind::unused_service, "Services[1].Name", 31},
             expected{"shared_key", error, finding_kind::shared_key, "Tenants[1].ApiKeys", 46},
             expected{"tenant_without_keys", warning, finding_kind::tenant_without_keys, "Tenants[1].Name", 45},
             expected{"timeout_below_target", warning, finding_kind::timeout_below_target, "Routes[1].TimeoutMs", 17},
             expected{"burst_below_one", warning, finding_kind::burst_below_one, "Tenants[1].Burst", 50},
             expected{"quota_above_capacity", warning, finding_kind::quota_above_capacity, "Tenants[1].RatePerS", 49},
             expected{"tenants_above_limit", warning, finding_kind::tenants_above_limit, "Services[0].MaxConns", 27},
         }) {
        INFO(each.file);
        const auto findings = check_configuration(read(each.file), {});
        REQUIRE(findings.size() == 1);
        CHECK(findings.front()->severity == each.severity);
        CHECK(finding_kind_name(findings.front()->kind) == std::string(finding_kind_name(each.kind)));
        CHECK(findings.front()->place.key == each.key);
        CHECK(findings.front()->place.line == each.line);
    }
    CHECK(check_configuration(read("clean"), {}).empty());
}

TEST_CASE("a file that cannot be parsed is reported with the line", "[config_check]")
{
    const auto findings = check_configuration(read("malformed"), {});
    REQUIRE(findings.size() == 1);
    CHECK(findings.front()->kind == finding_kind::malformed);
    CHECK(findings.front()->place.line == 16);
    for (const char* text : {"", "[]", "7", "{", "{\"Version\":1}", "{\"Version\":-1,\"Routes\":7,\"Services\":[3]}"}) {
        INFO(text);
        CHECK_FALSE(platform::read_configuration_document(text)->problems.empty());
    }
}

TEST_CASE("no finding or difference shows a key of a tenant", "[config_check]")
{
    command_fixture fixture;
    for (const char* file : {"shared_key", "duplicate_name", "tenant_without_keys"}) {
        for (const bool json : {false, true}) {
            fixture.run({.words = {"check-config", file}, .json = json, .against = "clean"});
            CHECK(fixture.out.str().find("k-") == std::string::npos);
        }
    }
}

TEST_CASE("differences name what was added, removed and changed", "[config_check]")
{
    const auto before = summarize(read("clean"));
    const auto changed = differences(before, summarize(read("timeout_below_target")));
    REQUIRE(changed.size() == 1);
    CHECK(changed.front()->subject == "route search");
    CHECK(changed.front()->field == "statement_timeout");
    CHECK(changed.front()->before == "1500 ms");
    CHECK(changed.front()->after == "500 ms");
    const auto added = differences(before, summarize(read("unused_service")));
    REQUIRE(added.size() == 1);
    CHECK(added.front()->subject == "service stock");
    CHECK(added.front()->before.empty());
    const auto removed = differences(summarize(read("unused_service")), before);
    REQUIRE(removed.size() == 1);
    CHECK(removed.front()->after.empty());
    const auto keys = differences(before, summarize(read("tenant_without_keys")));
    REQUIRE(keys.size() == 1);
    CHECK(keys.front()->field == "keys");
    CHECK(keys.front()->before == key_fingerprint("k-south-1"));
    CHECK(differences(before, before).empty());
}

TEST_CASE("the exit code tells errors, warnings and a check that did not take place", "[config_check]")
{
    command_fixture fixture;
    CHECK(fixture.run({.words = {"check-config", "clean"}}) == check_exit_code::clean);
    CHECK(fixture.out.str() == "0 findings\n");
    CHECK(fixture.run({.words = {"check-config", "burst_below_one"}}) == check_exit_code::warnings);
    CHECK(fixture.run({.words = {"check-config", "shared_key"}}) == check_exit_code::errors);
    CHECK(fixture.run({.words = {"check-config", "none"}}) == check_exit_code::not_checked);
    CHECK(fixture.run({.words = {"check-config"}}) == check_exit_code::not_checked);
    CHECK(fixture.run({.words = {"check-config", "clean"}, .against = "in-force"}) == check_exit_code::not_checked);
    CHECK(fixture.run({.words = {"check-config", "clean"}, .against = "malformed"}) == check_exit_code::not_checked);
}

TEST_CASE("a configuration is compared with the one that a daemon has in force", "[config_check]")
{
    command_fixture fixture;
    const auto present = with(summarize(read("clean")), [](configuration_summary_fields& fields) {
        fields.version = 6;
        fields.routes.erase("search");
    });
    fixture.reply = http_reply{{.status = 200, .body = configuration_summary_json(present)}};
    CHECK(fixture.run({.words = {"check-config", "clean"}, .against = "in-force"}) == check_exit_code::clean);
    CHECK(fixture.asked == "/configuration");
    CHECK(fixture.out.str() == "DIFFERS        FIELD    BEFORE  AFTER\n"
                               "configuration  version  6       7\n"
                               "route search   -        -       added\n"
                               "0 findings, 2 differences\n");
    fixture.reply = http_reply{{.status = 200, .body = configuration_summary_json(summarize(read("clean")))}};
    CHECK(fixture.run({.words = {"check-config", "clean"}, .json = true, .against = "in-force"}) ==
          check_exit_code::errors);
    CHECK(fixture.out.str() ==
          R"({"differences":[],"findings":[{"detail":"version 7 is not above 7, so daemons would ignore it","key":)"
          R"("Version","kind":"version_not_higher","line":2,"severity":"error"}]})"
          "\n");
    fixture.reply = http_reply{{.status = 404}};
    CHECK(fixture.run({.words = {"check-config", "clean"}, .against = "in-force"}) == check_exit_code::not_checked);
}

TEST_CASE("a summary survives the text that a daemon serves", "[config_check]")
{
    const auto summary = summarize(read("clean"));
    const auto read_back = read_configuration_summary(configuration_summary_json(summary));
    REQUIRE(ok(read_back));
    CHECK(value_of(read_back) == summary);
    CHECK_FALSE(ok(read_configuration_summary("{}")));
    CHECK_FALSE(ok(read_configuration_summary("no json")));
}
