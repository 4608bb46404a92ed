#pragma once

#include "citronfall/result.h"
#include "config_check/configuration_summary.h"

#include <string>
#include <string_view>

namespace citronfall {

/// Text of a summary as a daemon serves it to the operators' tool. Thread-safe.
[[nodiscard]] std::string configuration_summary_json(const configuration_summary& summary);

/// Reads the text of a daemon. Error (bad_request): it is not a summary. Thread-safe.
[[nodiscard]] result<configuration_summary> read_configuration_summary(std::string_view text);

} // namespace citronfall
