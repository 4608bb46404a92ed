#pragma once

#include "gateway/gateway_settings.h"

#include <string>

namespace citronfall::standin {

/// The text of a settings file that the daemon reads back. Thread-safe.
[[nodiscard]] std::string settings_text(const gateway_settings& settings);

} // namespace citronfall::standin
