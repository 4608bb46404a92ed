#include "ctl/gateway_commands.h"

#include "ctl/log_trace.h"
#include "ctl/text_table.h"

#include <ostream>

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

std::string text_of(const json& value)
{
    if (value.is_null()) {
        return "-";
    }
    if (value.is_boolean()) {
        return value.get<bool>() ? "yes" : "no";
    }
    return value.is_string() ? (value.get<std::string>().empty() ? "-" : value.get<std::string>()) : value.dump();
}

/// Makes a table row of the values of `keys` for each entry of a list.
void print_list(const tool_context& context, const json& list, const std::vector<std::string>& heading,
                const std::vector<std::string>& keys)
{
    std::vector<std::vector<std::string>> rows{heading};
    for (const json& each : list) {
        std::vector<std::string> row;
        for (const std::string& key : keys) {
            row.push_back(text_of(each.value(key, json()))); // A daemon of an earlier version has fewer.
        }
        rows.push_back(std::move(row));
    }
    context.out << text_table(rows);
}

void print_report(const tool_context& context, const json& report)
{
    context.out << "daemon " << text_of(report.at("daemon")) << ": ready " << text_of(report.at("ready"))
                << ", configuration " << text_of(report.at("configuration_version")) << " with "
                << text_of(report.at("routes")) << " routes, sessions " << text_of(report.at("sessions"))
                << ", statements " << text_of(report.at("statements")) << ", peers " << text_of(report.at("peers"))
                << " of " << text_of(report.at("daemons")) << " daemons\n";
    print_list(
        context, report.at("services"),
        {"SERVICE", "LEADER", "TERM", "EVIDENCE MS", "LEADERLESS MS", "CHANGES BY", "REACHED", "WAITING"},
        {"service", "leader", "term", "evidence_age_ms", "leaderless_for_ms", "duty_holder", "reached", "waiting"});
    print_list(
        context, report.at("members"),
        {"MEMBER", "SERVICE", "ADDRESS", "REACH", "LEADS", "DRAINING", "CONNECTIONS", "IDLE", "RUNNING", "ALLOWANCE"},
        {"member", "service", "address", "reach", "leads", "draining", "connections", "idle", "running", "allowance"});
    // Daemons of earlier releases report no quotas.
    const json none = json::array();
    if (const json& quotas = report.contains("quotas") ? report.at("quotas") : none; !quotas.empty()) {
        print_list(context, quotas, {"TENANT", "RATE", "BURST", "HELD BY", "ADMITTED", "REFUSED", "WAITING"},
                   {"tenant", "rate_per_s", "burst", "holders", "admitted", "refused", "waiting"});
    }
    if (const json& parts = report.contains("quota_parts") ? report.at("quota_parts") : none; !parts.empty()) {
        print_list(context, parts, {"HELD QUOTA OF", "PART", "LEVEL", "GRANTED", "DECLINED"},
                   {"tenant", "part", "level", "granted", "declined"});
    }
}

void print_explanation(const tool_context& context, const log_explanation& found)
{
    for (const std::string& each : found.lines) {
        context.out << each << '\n';
    }
    if (!found.context.empty()) {
        context.out << "context:\n";
    }
    for (const std::string& each : found.context) {
        context.out << "  " << each << '\n';
    }
    context.out << found.conclusion;
}

} // namespace

exit_code run_gateway_command(const tool_context& context, const tool_arguments& arguments)
{
    const auto reply = context.call_daemon(http_request{{.target = "/status"}});
    if (!ok(reply)) {
        return report_failure(context, error_of(reply));
    }
    if (arguments.json || value_of(reply)->status != 200) {
        context.out << value_of(reply)->body;
        return value_of(reply)->status == 200 ? exit_code::success : exit_code::failed;
    }
    try {
        print_report(context, json::parse(value_of(reply)->body));
    } catch (const json::exception&) {
        context.err << "citronfallctl: cannot parse the daemon's answer; its version may differ\n";
        return exit_code::failed;
    }
    return exit_code::success;
}

exit_code run_explain_command(const tool_context& context, const tool_arguments& arguments)
{
    if (arguments.words.size() < 3) {
        context.err << "citronfallctl: explain requires a request id and at least one log file\n";
        return exit_code::usage;
    }
    std::vector<log_file> files;
    for (auto name = arguments.words.begin() + 2; name != arguments.words.end(); ++name) {
        auto text = context.read_file(*name);
        if (!text) {
            context.err << "citronfallctl: cannot read " << *name << '\n';
            return exit_code::usage;
        }
        files.push_back({.name = *name, .text = std::move(*text)});
    }
    const auto found = explain_request(arguments.words[1], files);
    if (arguments.json) {
        context.out << json{{"lines", found.lines}, {"context", found.context}, {"conclusion", found.conclusion}}.dump()
                    << '\n';
    } else {
        print_explanation(context, found);
    }
    return found.lines.empty() ? exit_code::failed : exit_code::success;
}

} // namespace citronfall
