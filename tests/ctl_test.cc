#include "ctl/command_table.h"
#include "ctl/text_table.h"
#include "document_codec/document_codec.h"
#include "frontend/operator_codec.h"
#include "standin/platform_model.h"

#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>

using namespace citronfall;

namespace {

/// Runs the tool against a model of the platform, files in memory and a daemon with canned replies.
class tool {
public:
    exit_code run(tool_arguments arguments)
    {
        out.str("");
        err.str("");
        if (arguments.author.empty()) {
            arguments.author = "asha";
            arguments.team = "network";
            arguments.reason = "test";
        }
        platform_hooks hooks;
        hooks.kv_read = [this](const std::string& key, instant) -> result<kv_entry> {
            if (down) {
                return error{{.kind = error_kind::connect_failed, .detail = "platform down"}};
            }
            return platform.read(key);
        };
        hooks.kv_compare_and_swap = [this](const std::string& key, kv_revision expected, const std::string& value,
                                           instant) -> result<kv_entry> {
            const auto entry = platform.compare_and_swap(key, expected, value);
            if (!entry) {
                return error{{.kind = error_kind::conflict}};
            }
            if (lose_answers) {
                down = true;
                return error{{.kind = error_kind::outcome_unknown, .detail = "answer lost"}};
            }
            return *entry;
        };
        const tool_context context{.call_daemon = [this](const http_request& request) -> result<http_reply> {
                                       requests.push_back(request);
                                       if (replies.empty()) {
                                           return error{{.kind = error_kind::connect_failed, .detail = "no daemon"}};
                                       }
                                       const http_reply reply = replies.front();
                                       replies.erase(replies.begin());
                                       return reply;
                                   },
                                   .platform = hooks,
                                   .read_file = [this](const std::string& name) -> std::optional<std::string> {
                                       const auto found = files.find(name);
                                       return found == files.end() ? std::nullopt : std::optional(found->second);
                                   },
                                   .wall_ms = [] { return std::int64_t{1000}; },
                                   .nonce = [this] { return "n" + std::to_string(++nonces); },
                                   .pause = [](duration) {},
                                   .out = out,
                                   .err = err};
        return run_command(context, std::move(arguments));
    }

    standin::platform_model platform;
    std::map<std::string, std::string> files;
    std::vector<http_request> requests;
    std::vector<http_reply> replies;
    std::ostringstream out;
    std::ostringstream err;
    bool down = false;
    bool lose_answers = false;
    int nonces = 0;
};

std::string example()
{
    std::ifstream file(CITRONFALL_SOURCE_DIR "/examples/kapot.json");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string edited(std::string text, const std::string& from, const std::string& to)
{
    return text.replace(text.find(from), from.size(), to);
}

http_reply status_reply(std::size_t holding)
{
    operator_report_fields fields{.daemon = "entry-1", .state = "ready", .daemons = 7};
    fields.sections.push_back(section_status{{.section = document_part_id::routing,
                                              .state = "in_force",
                                              .revision = 1,
                                              .desired = 1,
                                              .in_force_on = holding,
                                              .daemons = 7,
                                              .author = "asha",
                                              .differences = {"override disk by asha"}}});
    return operator_codec::encode(operator_report{std::move(fields)});
}

} // namespace

// Scripts rely on the exit codes and outputs of these commands.
TEST_CASE("the document commands report results by output and exit code", "[ctl]")
{
    tool subject;
    subject.files["d"] = example();
    CHECK(subject.run({.words = {"document", "check", "d"}}) == exit_code::success);
    CHECK(subject.run({.words = {"apply", "d"}}) == exit_code::success);
    CHECK(subject.out.str() == "document accepted, revision 1\n");
    CHECK(subject.run({.words = {"document", "show"}}) == exit_code::success);
    const std::string shown = subject.out.str();

    subject.files["d2"] = edited(shown, "\"status_interval_ms\": 100", "\"status_interval_ms\": 50");
    CHECK(subject.run({.words = {"document", "diff", "d2"}}) == exit_code::success);
    CHECK(subject.out.str() == "routing/status_interval_ms: 100 -> 50\n1 differences\n");
    CHECK(subject.run({.words = {"document", "apply", "d2"}, .json = true}) == exit_code::success);
    CHECK(subject.out.str() == "{\"revision\":2}\n");
    // A file based on revision 1 would revert the change of revision 2.
    subject.files["d3"] = edited(shown, "\"status_interval_ms\": 100", "\"status_interval_ms\": 70");
    CHECK(subject.run({.words = {"document", "apply", "d3"}}) == exit_code::conflict);
    CHECK(subject.err.str().find("revision 2 by asha") != std::string::npos);

    REQUIRE(subject.run({.words = {"document", "show"}}) == exit_code::success);
    subject.files["bad"] = edited(subject.out.str(), "\"long_request_percent\": 34", "\"long_request_percent\": 340");
    CHECK(subject.run({.words = {"document", "check", "bad"}}) == exit_code::refused);
    CHECK(subject.err.str() == "section limits, long_request_percent: found 340, allowed an integer from 1 to 100\n");
    CHECK(subject.run({.words = {"document", "apply", "bad"}}) == exit_code::refused);
    CHECK(subject.run({.words = {"document", "history"}}) == exit_code::success);
    CHECK(subject.out.str().find("routing") != std::string::npos);

    CHECK(subject.run({.words = {"document", "check", "missing"}}) == exit_code::usage);
    CHECK(subject.run({.words = {"frobnicate"}}) == exit_code::usage);
    subject.lose_answers = true;
    subject.files["d4"] = edited(subject.files["d2"], "\"status_interval_ms\": 50", "\"status_interval_ms\": 60");
    CHECK(subject.run({.words = {"document", "show"}}) == exit_code::success);
    subject.files["d4"] = edited(subject.out.str(), "\"status_interval_ms\": 50", "\"status_interval_ms\": 60");
    CHECK(subject.run({.words = {"document", "apply", "d4"}}) == exit_code::unknown);
    CHECK(subject.run({.words = {"document", "show"}}) == exit_code::failed);
}

// An override keeps its expiry and its author, and does not replace other overrides.
TEST_CASE("the override commands set, list and clear overrides", "[ctl]")
{
    tool subject;
    subject.files["d"] = example();
    REQUIRE(subject.run({.words = {"apply", "d"}}) == exit_code::success);
    CHECK(subject.run({.words = {"override", "set", "disk"},
                       .section = "routing",
                       .path = "/automatic_failover",
                       .value = "false",
                       .for_minutes = 2}) == exit_code::success);
    CHECK(subject.run({.words = {"override", "list"}, .json = true}) == exit_code::success);
    CHECK(subject.out.str().find("\"end\":121000") != std::string::npos);
    CHECK(
        subject.run(
            {.words = {"override", "set", "bad"}, .section = "routing", .path = "/automatic_failover", .value = "7"}) ==
        exit_code::refused);
    CHECK(subject.run({.words = {"override", "set", "bad"}, .section = "nowhere", .value = "7"}) == exit_code::usage);
    CHECK(subject.run({.words = {"override", "clear", "other"}}) == exit_code::refused);
    CHECK(subject.run({.words = {"override", "clear", "disk"}}) == exit_code::success);
    CHECK(subject.run({.words = {"override", "list"}, .json = true}) == exit_code::success);
    CHECK(subject.out.str() == "[]\n");
}

// A change is reported as in force everywhere only once it is.
TEST_CASE("the tool reports the rollout of a change", "[ctl]")
{
    tool subject;
    subject.files["d"] = example();
    subject.replies = {status_reply(2), status_reply(2), status_reply(5), status_reply(7)};
    CHECK(subject.run({.words = {"apply", "d"}, .key = "k", .wait = true}) == exit_code::success);
    CHECK(subject.out.str() ==
          "document accepted, revision 1\nin force on 2 of 7\nin force on 5 of 7\nin force on 7 of 7\n");
    CHECK(subject.requests.front()->headers.at("citronfall-operator-key") == "k");
    subject.replies = {status_reply(7)};
    CHECK(subject.run({.words = {"status"}}) == exit_code::success);
    CHECK(subject.out.str().find("7 of 7") != std::string::npos);
    CHECK(subject.out.str().find("routing: override disk by asha") != std::string::npos);
    CHECK(subject.run({.words = {"status"}}) == exit_code::failed);
    CHECK(text_table({{"A", "B"}, {"longer", "x"}}) == "A       B\nlonger  x\n");
}

// Requests without the right key are rejected, and the error does not reveal the key.
TEST_CASE("the operators' interface requires its key", "[ctl]")
{
    const auto asked = [](const std::string& given, const std::string& key) {
        http_request_fields fields{.method = "GET", .target = "/v1/operator/status"};
        if (!given.empty()) {
            fields.headers["citronfall-operator-key"] = given;
        }
        return operator_codec::decode(http_request{fields}, 1, key);
    };
    CHECK(ok(asked("", "")));
    CHECK(ok(asked("secret", "secret")));
    for (const char* wrong : {"", "s", "secre", "secrets", "secretsecret", "Secret"}) {
        const auto answer = asked(wrong, "secret");
        REQUIRE_FALSE(ok(answer));
        CHECK(error_of(answer)->kind == error_kind::unauthorized);
        CHECK(error_of(answer)->detail.find("secret") == std::string::npos);
    }
    const auto unknown = operator_codec::decode(http_request{{.method = "GET", .target = "/v1/operator/drain"}}, 1, "");
    REQUIRE_FALSE(ok(unknown));
    CHECK(error_of(unknown)->kind == error_kind::bad_request);
}

TEST_CASE("the gateway command prints tables or JSON", "[ctl]")
{
    tool subject;
    const std::string body = R"({"daemon":"d0","ready":true,"configuration_version":7,"routes":3,"sessions":12,)"
                             R"("statements":2,"daemons":7,"peers":6,"services":[{"service":"ledger","leader":"m1",)"
                             R"("term":2,"evidence_age_ms":40,"leaderless_for_ms":null,"duty_holder":"d3",)"
                             R"("reached":true,"waiting":0}],"members":[{"member":"m1","service":"ledger",)"
                             R"("address":"10.0.0.1:80","reach":"good","leads":true,"draining":false,"listed":true,)"
                             R"("connections":3,"idle":2,"running":1}]})";
    subject.replies = {http_reply{{.body = body}}, http_reply{{.body = body}}, http_reply{{.body = "[]"}}};
    CHECK(subject.run({.words = {"gateway"}}) == exit_code::success);
    CHECK(subject.out.str().find("configuration 7 with 3 routes") != std::string::npos);
    CHECK(subject.out.str().find("m1") != std::string::npos);
    CHECK(subject.run({.words = {"gateway"}, .json = true}) == exit_code::success);
    CHECK(subject.out.str() == body);
    CHECK(subject.run({.words = {"gateway"}}) == exit_code::failed);
}

TEST_CASE("the explain command reads log files and reports an unknown request id", "[ctl]")
{
    tool subject;
    subject.files["a.log"] = "2026-10-23T00:36:01.100 INFO event=statement_sent id=q1 session=6 member=m1\n";
    CHECK(subject.run({.words = {"explain", "q1", "a.log"}}) == exit_code::success);
    CHECK(subject.out.str().find("statement_sent") != std::string::npos);
    CHECK(subject.run({.words = {"explain", "q2", "a.log"}}) == exit_code::failed);
    CHECK(subject.run({.words = {"explain", "q1"}}) == exit_code::usage);
    CHECK(subject.run({.words = {"explain", "q1", "missing.log"}}) == exit_code::usage);
}
