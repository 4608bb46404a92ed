#pragma once

#include "ctl/tool_context.h"

namespace citronfall {

/// Command `document show|check|diff|apply|history`.
[[nodiscard]] exit_code run_document_command(const tool_context& context, const tool_arguments& arguments);

/// Command `override set|list|clear`.
[[nodiscard]] exit_code run_override_command(const tool_context& context, const tool_arguments& arguments);

} // namespace citronfall
