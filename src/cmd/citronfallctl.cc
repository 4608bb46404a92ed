#include "ctl/command_table.h"
#include "http/http_client.h"
#include "kv_service/http_platform.h"
#include "platform/configuration_document_reader.h"

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include <tclap/CmdLine.h>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace {

using namespace citronfall;

constexpr duration call_timeout = std::chrono::seconds(15);

/// The key is read from the environment, because command lines are visible to other users.
constexpr const char* key_variable = "CITRONFALL_OPERATOR_KEY";

std::string environment(const char* variable)
{
    const char* value = std::getenv(variable);
    return value == nullptr ? "" : value;
}

tool_arguments parse(int argc, char** argv)
{
    TCLAP::CmdLine parser(command_help(), ' ', "0.1");
    using text = TCLAP::ValueArg<std::string>;
    text daemon("", "daemon", "daemon's address", false, "127.0.0.1:8080", "ip:port", parser);
    text platform("", "platform", "platform's address", false, "", "ip:port", parser);
    text author("", "author", "who makes the change", false, environment("USER"), "name", parser);
    text team("", "team", "team that owns the sections", false, "", "name", parser);
    text reason("", "reason", "why the change is made", false, "not stated", "text", parser);
    text section("", "section", "section of an override", false, "", "name", parser);
    text path("", "path", "JSON pointer into the section", false, "", "pointer", parser);
    text value("", "value", "value of an override", false, "", "JSON", parser);
    text tenant("", "tenant", "tenant of a statement", false, "", "name", parser);
    text class_name("", "class", "class of a statement", false, "", "name", parser);
    text group("", "group", "group of a statement", false, "", "name", parser);
    text kind("", "kind", "read or write", false, "read", "kind", parser);
    text id("", "id", "request id of a write", false, "", "id", parser);
    text session("", "session", "session token", false, "", "token", parser);
    text against("", "against", "what check-config compares with", false, "", "file or in-force", parser);
    TCLAP::ValueArg<std::int64_t> minutes("", "for-minutes", "length of an override; 0: until cleared", false, 0,
                                          "minutes", parser);
    TCLAP::SwitchArg json("", "json", "output for scripts", parser);
    TCLAP::SwitchArg adopt("", "adopt", "accept values that were written to the platform without this tool", parser);
    TCLAP::SwitchArg wait("", "wait", "report until the change is in force everywhere (needs --daemon)", parser);
    TCLAP::UnlabeledMultiArg<std::string> words("command", "command and its arguments", true, "text", parser);
    parser.parse(argc, argv);
    return {.words = words.getValue(),
            .daemon = daemon.getValue(),
            .platform = platform.getValue(),
            .key = environment(key_variable),
            .author = author.getValue().empty() ? "unknown" : author.getValue(),
            .team = team.getValue(),
            .reason = reason.getValue(),
            .json = json.getValue(),
            .adopt = adopt.getValue(),
            .wait = wait.getValue(),
            .section = section.getValue(),
            .path = path.getValue(),
            .value = value.getValue(),
            .for_minutes = minutes.getValue(),
            .tenant = tenant.getValue(),
            .class_name = class_name.getValue(),
            .group = group.getValue(),
            .kind = kind.getValue(),
            .id = id.getValue(),
            .session = session.getValue(),
            .against = against.getValue()};
}

std::optional<std::string> read_file(const std::string& name)
{
    std::ifstream file(name);
    if (!file) {
        return std::nullopt;
    }
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::int64_t wall_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
        .count();
}

std::string make_nonce()
{
    std::random_device source;
    std::ostringstream text;
    text << std::hex << source() << source() << source() << source();
    return text.str();
}

result<http_reply> call(const std::string& daemon, const http_request& request)
{
    auto client = http_client::make({.address = daemon});
    if (!ok(client)) {
        return error_of(client);
    }
    return std::get<http_client>(client).call(request, steady_now() + call_timeout);
}

int run(const tool_arguments& arguments)
{
    platform_hooks platform;
    if (!arguments.platform.empty()) {
        auto made = make_http_platform({.address = arguments.platform});
        if (!ok(made)) {
            std::cerr << "citronfallctl: " << error_of(made)->detail << '\n';
            return static_cast<int>(exit_code::usage);
        }
        platform = take(std::move(made));
    }
    const tool_context context{
        .call_daemon = [&arguments](const http_request& request) { return call(arguments.daemon, request); },
        .platform = platform,
        .read_file = read_file,
        .wall_ms = wall_ms,
        .nonce = make_nonce,
        .pause = [](duration length) { std::this_thread::sleep_for(length); },
        .read_configuration = [](const std::string& text) { return platform::read_configuration_document(text); },
        .out = std::cout,
        .err = std::cerr};
    return static_cast<int>(run_command(context, arguments));
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(parse(argc, argv));
    } catch (const std::exception& problem) {
        std::cerr << "citronfallctl: " << problem.what() << '\n';
        return static_cast<int>(exit_code::failed);
    }
}
