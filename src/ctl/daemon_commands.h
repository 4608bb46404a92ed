#pragma once

#include "ctl/tool_context.h"

#include <string>

namespace citronfall {

/// `status`, `groups`, `sessions` and `drain` of one daemon.
[[nodiscard]] exit_code run_operator_command(const tool_context& context, const tool_arguments& arguments);

/// `health` and `metrics` of one daemon.
[[nodiscard]] exit_code run_report_command(const tool_context& context, const tool_arguments& arguments);

/// `execute STATEMENT`.
[[nodiscard]] exit_code run_execute_command(const tool_context& context, const tool_arguments& arguments);

/// Prints "in force on N of M" until revision `revision` is in force on all known daemons, at most 10 s. The exit code
/// is `failed` if it is not in force everywhere by then.
[[nodiscard]] exit_code wait_for_rollout(const tool_context& context, const tool_arguments& arguments,
                                         std::uint64_t revision);

/// A request to the operators' interface, with the key.
[[nodiscard]] http_request operator_request(const tool_arguments& arguments, const std::string& method,
                                            const std::string& resource);

} // namespace citronfall
