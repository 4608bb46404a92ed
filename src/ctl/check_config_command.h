#pragma once

#include "ctl/tool_context.h"

namespace citronfall {

/// Exit codes of `check-config`, so that a script can tell findings from a check that did not take place.
enum class check_exit_code { clean = 0, warnings = 1, errors = 2, not_checked = 3 };

/// Command `check-config FILE [--against FILE|in-force]`: findings of a configuration that operators are about to send,
/// and what differs from another file or from the version that a daemon has in force. Differences do not change the
/// exit code, which is a check_exit_code.
[[nodiscard]] exit_code run_check_config_command(const tool_context& context, const tool_arguments& arguments);

} // namespace citronfall
