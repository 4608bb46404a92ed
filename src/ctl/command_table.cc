#include "ctl/command_table.h"

#include "ctl/check_config_command.h"
#include "ctl/daemon_commands.h"
#include "ctl/document_commands.h"
#include "ctl/gateway_commands.h"

#include <algorithm>
#include <array>
#include <ostream>
#include <string_view>

namespace citronfall {
namespace {

struct command_row {
    std::string_view name;
    exit_code (*run)(const tool_context&, const tool_arguments&);
    std::string_view help;
};

constexpr std::array<command_row, 13> commands{
    {{"gateway", run_gateway_command,
      "gateway                          leaders, members and configuration of a daemon on the users' platform"},
     {"explain", run_explain_command,
      "explain ID FILE...               what the logs of daemons say about one request"},
     {"check-config", run_check_config_command,
      "check-config FILE                findings of a configuration before it is sent, with --against FILE|in-force "
      "also\n"
      "                                   what differs; exit codes: 0 clean, 1 warnings, 2 errors, 3 not checked"},
     {"status", run_operator_command,
      "status                           sections: state, revision, rollout, differences"},
     {"document", run_document_command,
      "document show|history            the document, from --platform or from --daemon\n"
      "  document check|diff|apply FILE   validates a file, compares it, makes it the document"},
     {"override", run_override_command, "override list|set NAME|clear NAME   temporary values in place of a section's"},
     {"drain", run_operator_command, "drain                            the daemon finishes its work and exits"},
     {"groups", run_operator_command, "groups                           primary, term and members of each group"},
     {"sessions", run_operator_command, "sessions                         requests in progress"},
     {"metrics", run_report_command, "metrics                          counters and latencies"},
     {"health", run_report_command, "health                           whether the daemon accepts work"},
     {"execute", run_execute_command, "execute STATEMENT                runs one statement as a caller"},
     {"apply", nullptr, "apply FILE                       short for document apply FILE"}}};

} // namespace

exit_code run_command(const tool_context& context, tool_arguments arguments)
{
    if (!arguments.words.empty() && arguments.words.front() == "apply") {
        arguments.words.insert(arguments.words.begin(), "document");
    }
    const auto found = std::find_if(commands.begin(), commands.end(), [&](const command_row& each) {
        return !arguments.words.empty() && each.name == arguments.words.front();
    });
    if (found == commands.end()) {
        context.err << "citronfallctl: unknown command; --help lists the commands\n";
        return exit_code::usage;
    }
    return found->run(context, arguments);
}

std::string command_help()
{
    std::string text = "operates citronfall daemons\n\nCommands:\n";
    for (const command_row& each : commands) {
        text += "  " + std::string(each.help) + '\n';
    }
    return text + R"(
Examples:
  citronfallctl --daemon 10.1.0.5:8785 gateway
  citronfallctl --daemon 10.1.0.5:8785 --against in-force check-config config.json
  citronfallctl explain 4d8cbf4b6c3413b7 frontend-1.log frontend-2.log
  citronfallctl --daemon 10.1.0.5:8080 status
  citronfallctl --platform 10.1.0.2:7000 document show > document.json
  citronfallctl --platform 10.1.0.2:7000 document diff document.json
  citronfallctl --platform 10.1.0.2:7000 --daemon 10.1.0.5:8080 --author asha --team network \
      --reason "slower replicas" --wait document apply document.json
  citronfallctl --platform 10.1.0.2:7000 --author asha --team network --reason "disk change" --section routing \
      --path /automatic_failover --value false --for-minutes 30 override set disk-change
  citronfallctl --platform 10.1.0.2:7000 --author asha --team network --reason done override clear disk-change

Exit codes: 0 success, 1 failed or not reachable, 2 usage, 3 refused, 4 conflict with another operator's change,
5 outcome unknown (the change may have been accepted; document history shows it))";
}

exit_code report_failure(const tool_context& context, const error& problem)
{
    context.err << "citronfallctl: " << problem->detail << '\n';
    return problem->kind == error_kind::outcome_unknown ? exit_code::unknown : exit_code::failed;
}

} // namespace citronfall
