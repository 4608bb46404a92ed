#include "settings/daemon_settings_reader.h"
#include "standin/free_port.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

namespace {

using namespace citronfall;

struct process_result {
    int status = -1;
    std::string output;
};

/// Runs citronfalld with a settings file and captures standard output and standard error.
process_result run_daemon(const std::string& options, const std::string& settings)
{
    const auto file = std::filesystem::temp_directory_path() / ("settings-" + std::to_string(::getpid()) + ".json");
    std::ofstream(file) << settings;
    process_result end;
    FILE* pipe = ::popen((std::string(CITRONFALLD) + " " + options + " " + file.string() + " 2>&1").c_str(), "r");
    REQUIRE(pipe != nullptr);
    for (int c = std::fgetc(pipe); c != EOF; c = std::fgetc(pipe)) {
        end.output += static_cast<char>(c);
    }
    const int status = ::pclose(pipe);
    end.status = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    std::filesystem::remove(file);
    return end;
}

nlohmann::json valid_settings()
{
    return {{"daemon", {{"name", "entry-1"}, {"region", "r"}, {"data_center", "d"}}},
            {"listen", {{"address", "127.0.0.1:23001"}}},
            {"platform", {{"address", "127.0.0.1:23002"}}}};
}

/// The valid settings after a JSON merge patch (RFC 7396).
std::string patched(const char* patch)
{
    nlohmann::json settings = valid_settings();
    settings.merge_patch(nlohmann::json::parse(patch));
    return settings.dump();
}

struct invalid_settings {
    const char* name;
    std::string text;
    std::string line;
};

std::vector<invalid_settings> all_invalid_settings()
{
    return {
        {"unknown key", patched(R"({"listen":{"port":1}})"),
         "listen.port: found an unknown key, allowed: the keys address, body_timeout_ms, header_timeout_ms, "
         "keep_alive_timeout_ms, max_request_bytes, threads"},
        {"wrong type", patched(R"({"listen":{"threads":"two"}})"),
         "listen.threads: found \"two\", allowed: an integer from 1 to 64"},
        {"out of range", patched(R"({"listen":{"threads":0}})"),
         "listen.threads: found 0, allowed: an integer from 1 to 64"},
        {"out of a machine integer's range", patched(R"({"drain":{"bound_ms":18446744073709551615}})"),
         "drain.bound_ms: found 18446744073709551615, allowed: an integer from 1 to 3600000"},
        {"missing address", patched(R"({"listen":{"address":null}})"),
         "listen.address: found nothing, allowed: ip:port with a numeric IP address"},
        {"host name", patched(R"({"platform":{"address":"localhost:1"}})"),
         "platform.address: found \"localhost:1\", allowed: ip:port with a numeric IP address"},
        {"seed", patched(R"({"peer":{"seeds":["127.0.0.1:1", 7]}})"),
         "peer.seeds[1]: found 7, allowed: ip:port with a numeric IP address"},
        {"missing section", patched(R"({"daemon":null})"), "daemon: found nothing, allowed: an object"},
        {"section of a wrong type", patched(R"({"drain":3})"), "drain: found 3, allowed: an object"},
        {"empty name", patched(R"({"daemon":{"name":""}})"),
         "daemon.name: found \"\", allowed: a string that is not empty"},
        {"open operators' interface", patched(R"({"listen":{"address":"0.0.0.0:23001"}})"),
         "operator.key: found nothing, allowed: a key, because listen.address is not a loopback address"},
        {"not JSON", "{", "(root): found malformed JSON, allowed: a JSON object"},
        {"not an object", "[]", "(root): found [], allowed: an object"},
    };
}

} // namespace

TEST_CASE("problems with settings name the path, what was found and what is allowed", "[settings]")
{
    for (const invalid_settings& each : all_invalid_settings()) {
        INFO(each.name);
        const auto read = daemon_settings_reader::read(each.text);
        const auto* problems = std::get_if<std::vector<json_problem>>(&read);
        REQUIRE(problems != nullptr);
        CHECK(problems->front().text() == each.line);
    }
    CHECK(std::holds_alternative<daemon_settings>(daemon_settings_reader::read(valid_settings().dump())));
}

TEST_CASE("citronfalld exits with one line and code 2 on invalid settings", "[settings]")
{
    // Without --check as well: a daemon must not start with settings that it only partly understands.
    for (const invalid_settings& each : all_invalid_settings()) {
        for (const char* option : {"--check", ""}) {
            INFO(each.name << ' ' << option);
            const process_result end = run_daemon(option, each.text);
            CHECK(end.status == 2);
            CHECK(end.output.find(": " + each.line + "\n") != std::string::npos);
            CHECK(std::count(end.output.begin(), end.output.end(), '\n') == 1);
        }
    }
    const process_result valid = run_daemon("--check", valid_settings().dump());
    CHECK(valid.status == 0);
    CHECK(run_daemon("--check --unknown", valid_settings().dump()).status == 2);
}

TEST_CASE("citronfalld names the address that it cannot listen on", "[settings]")
{
    nlohmann::json settings = valid_settings();
    settings["listen"]["address"] = "192.0.2.1:23001"; // TEST-NET-1: no interface has it.
    settings["operator"]["key"] = "k";
    const process_result end = run_daemon("", settings.dump());
    CHECK(end.status == 1);
    CHECK(end.output.find("cannot listen on 192.0.2.1:23001") != std::string::npos);
}
