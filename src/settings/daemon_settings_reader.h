#pragma once

#include "citronfall/daemon_settings.h"
#include "json/json_problem.h"

#include <string_view>
#include <variant>
#include <vector>

namespace citronfall {

/// Parses the JSON settings of a daemon.
class daemon_settings_reader {
public:
    /// Returns the settings, or all problems found. Thread-safe.
    [[nodiscard]] static std::variant<daemon_settings, std::vector<json_problem>> read(std::string_view text);
};

} // namespace citronfall
