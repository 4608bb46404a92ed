#pragma once

#include "ctl/tool_context.h"

#include <string>

namespace citronfall {

/// Runs the command that the first word names. Exit code `usage` if there is none of that name.
[[nodiscard]] exit_code run_command(const tool_context& context, tool_arguments arguments);

/// Text of --help: all commands, with examples.
[[nodiscard]] std::string command_help();

} // namespace citronfall
