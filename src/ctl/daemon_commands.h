#pragma once

#include "ctl/tool_context.h"

#include <string>

namespace citronfall {

/// Commands `status`, `groups`, `sessions` and `drain` for one daemon.
[[nodiscard]] exit_code run_operator_command(const tool_context& context, const tool_arguments& arguments);

/// Commands `health` and `metrics` for one daemon.
[[nodiscard]] exit_code run_report_command(const tool_context& context, const tool_arguments& arguments);

/// Command `execute STATEMENT`.
[[nodiscard]] exit_code run_execute_command(const tool_context& context, const tool_arguments& arguments);

/// Prints "in force on N of M" until `revision` is in force on all known daemons. Exit code `failed` if it is not after
/// 10 s.
[[nodiscard]] exit_code wait_for_rollout(const tool_context& context, const tool_arguments& arguments,
                                         std::uint64_t revision);

/// Makes a request to the operators' interface, with the operator key.
[[nodiscard]] http_request operator_request(const tool_arguments& arguments, const std::string& method,
                                            const std::string& resource);

} // namespace citronfall
