#pragma once

#include "gateway/gateway_settings.h"

#include <string>

namespace citronfall::standin {

/// Formats settings as the JSON text of a settings file. Thread-safe.
[[nodiscard]] std::string settings_text(const gateway_settings& settings);

} // namespace citronfall::standin
