#include "ctl/daemon_commands.h"

#include "ctl/text_table.h"

#include <algorithm>
#include <ostream>

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

constexpr duration rollout_poll_interval = std::chrono::milliseconds(200);
constexpr int max_rollout_polls = 50;

std::string seconds_text(std::int64_t ms)
{
    return std::to_string(ms / 1000) + " s";
}

exit_code print_reply(const tool_context& context, const result<http_reply>& reply)
{
    if (!ok(reply)) {
        return report_failure(context, error_of(reply));
    }
    const auto session = value_of(reply)->headers.find("citronfall-session");
    if (session != value_of(reply)->headers.end()) {
        context.out << "session " << session->second << '\n';
    }
    context.out << value_of(reply)->body;
    return value_of(reply)->status == 200 ? exit_code::success : exit_code::failed;
}

void print_status(const tool_context& context, const json& body)
{
    context.out << "daemon " << body.at("daemon").get<std::string>() << ": " << body.at("state").get<std::string>()
                << (body.at("watching").get<bool>() ? ", watching the platform" : "") << '\n';
    std::vector<std::vector<std::string>> rows{
        {"SECTION", "STATE", "REVISION", "DESIRED", "IN FORCE ON", "SINCE", "BY", "OWNER", "REASON"}};
    for (const json& each : body.at("sections")) {
        rows.push_back(
            {each.at("section").get<std::string>(), each.at("state").get<std::string>(), each.at("revision").dump(),
             each.at("desired").dump(), each.at("in_force_on").dump() + " of " + each.at("daemons").dump(),
             seconds_text(each.at("in_force_for_ms").get<std::int64_t>()), each.at("author").get<std::string>(),
             each.at("owner").get<std::string>(), each.at("reason").get<std::string>()});
    }
    context.out << text_table(rows);
    for (const json& each : body.at("sections")) {
        for (const json& line : each.at("differences")) {
            context.out << each.at("section").get<std::string>() << ": " << line.get<std::string>() << '\n';
        }
    }
}

void print_groups(const tool_context& context, const json& body)
{
    std::vector<std::vector<std::string>> rows{{"GROUP", "PRIMARY", "TERM", "AUTOMATION", "MEMBERS (applied, weight)"}};
    for (const json& each : body.at("groups")) {
        std::string members;
        for (const auto& [member, weight] : each.at("weights").items()) {
            const json applied = each.at("applied").value(member, json());
            members += (members.empty() ? "" : ", ") + member + " (" + (applied.is_null() ? "-" : applied.dump()) +
                       ", " + weight.dump() + ")";
        }
        const std::string primary = each.at("primary").get<std::string>();
        rows.push_back({each.at("group").get<std::string>(), primary.empty() ? "unknown" : primary,
                        each.at("term").dump(), each.at("automation_yields").get<bool>() ? "yields" : "acts", members});
    }
    context.out << text_table(rows);
}

void print_body(const tool_context& context, const std::string& command, const json& body)
{
    if (command == "status") {
        print_status(context, body);
    } else if (command == "groups") {
        print_groups(context, body);
    } else {
        context.out << "daemon " << body.at("daemon").get<std::string>() << ": " << body.at("state").get<std::string>()
                    << ", requests in progress: " << body.at("requests_in_progress").dump() << '\n';
    }
}

} // namespace

http_request operator_request(const tool_arguments& arguments, const std::string& method, const std::string& resource)
{
    http_request_fields fields{.method = method, .target = "/v1/operator/" + resource};
    if (!arguments.key.empty()) {
        fields.headers["citronfall-operator-key"] = arguments.key;
    }
    return http_request{std::move(fields)};
}

exit_code run_operator_command(const tool_context& context, const tool_arguments& arguments)
{
    const std::string& command = arguments.words.front();
    const auto reply = context.call_daemon(operator_request(arguments, command == "drain" ? "POST" : "GET", command));
    if (!ok(reply) || arguments.json || value_of(reply)->status != 200) {
        return print_reply(context, reply);
    }
    try {
        print_body(context, command, json::parse(value_of(reply)->body));
    } catch (const json::exception&) {
        context.err << "citronfallctl: cannot parse the daemon's answer; its version may differ\n";
        return exit_code::failed;
    }
    return exit_code::success;
}

exit_code run_report_command(const tool_context& context, const tool_arguments& arguments)
{
    return print_reply(context, context.call_daemon(http_request{{.target = "/" + arguments.words.front()}}));
}

exit_code run_execute_command(const tool_context& context, const tool_arguments& arguments)
{
    std::string statement;
    for (auto word = arguments.words.begin() + 1; word != arguments.words.end(); ++word) {
        statement += (statement.empty() ? "" : " ") + *word;
    }
    json body{{"tenant", arguments.tenant},
              {"class", arguments.class_name},
              {"group", arguments.group},
              {"kind", arguments.kind},
              {"statement", statement}};
    if (!arguments.id.empty()) {
        body["request_id"] = arguments.id;
    }
    http_request_fields fields{.method = "POST", .target = "/v1/statements", .body = body.dump()};
    if (!arguments.session.empty()) {
        fields.headers["citronfall-session"] = arguments.session;
    }
    return print_reply(context, context.call_daemon(http_request{std::move(fields)}));
}

exit_code wait_for_rollout(const tool_context& context, const tool_arguments& arguments, std::uint64_t revision)
{
    std::string last;
    for (int poll = 0; poll < max_rollout_polls; ++poll) {
        if (poll > 0) {
            context.pause(rollout_poll_interval);
        }
        const auto reply = context.call_daemon(operator_request(arguments, "GET", "status"));
        if (!ok(reply) || value_of(reply)->status != 200) {
            continue;
        }
        const json body = json::parse(value_of(reply)->body, nullptr, false);
        if (!body.is_object() || !body.contains("sections")) {
            continue;
        }
        // The most recently changed section shows on how many daemons the document is in force.
        std::uint64_t known = 0;
        std::size_t holding = 0;
        std::size_t daemons = 0;
        for (const json& each : body.at("sections")) {
            if (each.value("revision", std::uint64_t{0}) >= known) {
                known = each.value("revision", std::uint64_t{0});
                holding = each.value("in_force_on", std::size_t{0});
                daemons = each.value("daemons", std::size_t{0});
            }
        }
        const std::string line =
            "in force on " + std::to_string(known >= revision ? holding : 0) + " of " + std::to_string(daemons);
        if (line != last) {
            context.out << line << std::endl;
            last = line;
        }
        if (known >= revision && holding == daemons) {
            return exit_code::success;
        }
    }
    context.err << "citronfallctl: revision " << revision << " is accepted, but not in force everywhere after 10 s\n";
    return exit_code::failed;
}

} // namespace citronfall
