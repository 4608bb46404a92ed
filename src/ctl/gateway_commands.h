#pragma once

#include "ctl/tool_context.h"

namespace citronfall {

/// Command `gateway`: leaders, members and configuration as known to a daemon on the users' platform.
[[nodiscard]] exit_code run_gateway_command(const tool_context& context, const tool_arguments& arguments);

/// Command `explain ID FILE...`: traces one request in daemons' logs.
[[nodiscard]] exit_code run_explain_command(const tool_context& context, const tool_arguments& arguments);

} // namespace citronfall
