#include "ctl/check_config_command.h"

#include "config_check/configuration_check.h"
#include "config_check/configuration_difference.h"
#include "ctl/text_table.h"
#include "gateway/configuration_summary_json.h"

#include <algorithm>
#include <ostream>
#include <vector>

#include <nlohmann/json.hpp>

namespace citronfall {
namespace {

using json = nlohmann::json;

constexpr const char* in_force = "in-force";

/// Result of a check.
struct check_result {
    std::vector<config_finding> findings;
    std::vector<configuration_difference> differences;
    bool compared = false;
};

const char* severity_name(finding_severity severity)
{
    return severity == finding_severity::error ? "error" : "warning";
}

check_exit_code code_of(const check_result& checked)
{
    const auto has = [&checked](finding_severity severity) {
        return std::any_of(checked.findings.begin(), checked.findings.end(),
                           [severity](const config_finding& each) { return each->severity == severity; });
    };
    if (has(finding_severity::error)) {
        return check_exit_code::errors;
    }
    return has(finding_severity::warning) ? check_exit_code::warnings : check_exit_code::clean;
}

exit_code not_checked(const tool_context& context, const std::string& why)
{
    context.err << "citronfallctl: " << why << '\n';
    return static_cast<exit_code>(check_exit_code::not_checked);
}

std::string or_dash(const std::string& text)
{
    return text.empty() ? "-" : text;
}

void print_tables(const tool_context& context, const check_result& checked)
{
    if (!checked.findings.empty()) {
        std::vector<std::vector<std::string>> rows{{"SEVERITY", "LINE", "KEY", "FINDING", "DETAIL"}};
        for (const config_finding& each : checked.findings) {
            rows.push_back({severity_name(each->severity),
                            each->place.line == 0 ? "-" : std::to_string(each->place.line), or_dash(each->place.key),
                            finding_kind_name(each->kind), each->detail});
        }
        context.out << text_table(rows);
    }
    if (!checked.differences.empty()) {
        std::vector<std::vector<std::string>> rows{{"DIFFERS", "FIELD", "BEFORE", "AFTER"}};
        for (const configuration_difference& each : checked.differences) {
            rows.push_back({each->subject, or_dash(each->field), or_dash(each->before), or_dash(each->after)});
        }
        context.out << text_table(rows);
    }
    context.out << checked.findings.size() << " findings";
    if (checked.compared) {
        context.out << ", " << checked.differences.size() << " differences";
    }
    context.out << '\n';
}

void print_json(const tool_context& context, const check_result& checked)
{
    json text{{"findings", json::array()}};
    for (const config_finding& each : checked.findings) {
        text["findings"].push_back({{"severity", severity_name(each->severity)},
                                    {"kind", finding_kind_name(each->kind)},
                                    {"key", each->place.key},
                                    {"line", each->place.line},
                                    {"detail", each->detail}});
    }
    if (checked.compared) {
        text["differences"] = json::array();
        for (const configuration_difference& each : checked.differences) {
            text["differences"].push_back(
                {{"subject", each->subject}, {"field", each->field}, {"before", each->before}, {"after", each->after}});
        }
    }
    context.out << text.dump() << '\n';
}

/// Error: the version to compare with cannot be had.
result<configuration_summary> read_other(const tool_context& context, const std::string& against)
{
    if (against == in_force) {
        const auto reply = context.call_daemon(http_request{{.target = "/configuration"}});
        if (!ok(reply)) {
            return error_of(reply);
        }
        if (value_of(reply)->status != 200) {
            return error{{.kind = error_kind::not_ready, .detail = "the daemon has no configuration in force"}};
        }
        return read_configuration_summary(value_of(reply)->body);
    }
    const auto text = context.read_file(against);
    if (!text) {
        return error{{.kind = error_kind::bad_request, .detail = "cannot read " + against}};
    }
    const configuration_document other = context.read_configuration(*text);
    if (!other->problems.empty()) {
        return error{{.kind = error_kind::bad_request, .detail = against + " has errors itself"}};
    }
    return summarize(other);
}

} // namespace

exit_code run_check_config_command(const tool_context& context, const tool_arguments& arguments)
{
    if (arguments.words.size() != 2) {
        return not_checked(context, "check-config requires one file");
    }
    const std::string& name = arguments.words[1];
    const auto text = context.read_file(name);
    if (!text) {
        return not_checked(context, "cannot read " + name);
    }
    const configuration_document document = context.read_configuration(*text);
    check_result checked{.findings = check_configuration(document, {})};
    if (!arguments.against.empty()) {
        const auto other = read_other(context, arguments.against);
        if (!ok(other)) {
            return not_checked(context, error_of(other)->detail);
        }
        checked.compared = true;
        if (const auto finding = check_version(document, value_of(other))) {
            checked.findings.push_back(*finding);
        }
        checked.differences = differences(value_of(other), summarize(document));
    }
    arguments.json ? print_json(context, checked) : print_tables(context, checked);
    return static_cast<exit_code>(code_of(checked));
}

} // namespace citronfall
