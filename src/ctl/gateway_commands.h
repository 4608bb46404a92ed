#pragma once

#include "ctl/tool_context.h"

namespace citronfall {

/// `gateway`: leaders, members and configuration as a daemon on the users' platform knows them.
[[nodiscard]] exit_code run_gateway_command(const tool_context& context, const tool_arguments& arguments);

/// `explain ID FILE...`: what the logs of daemons say about one request.
[[nodiscard]] exit_code run_explain_command(const tool_context& context, const tool_arguments& arguments);

} // namespace citronfall
