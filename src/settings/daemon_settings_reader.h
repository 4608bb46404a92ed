#pragma once

#include "citronfall/daemon_settings.h"
#include "json/json_problem.h"

#include <string_view>
#include <variant>
#include <vector>

namespace citronfall {

/// Reads the JSON text of a daemon's settings.
class daemon_settings_reader {
public:
    /// The settings, or all problems found. Thread-safe.
    [[nodiscard]] static std::variant<daemon_settings, std::vector<json_problem>> read(std::string_view text);
};

} // namespace citronfall
