#pragma once

#include <span>
#include <string_view>

namespace citronfall {

/// A file of charts/ that is compiled into the binary, because instances have no disk.
struct embedded_chart {
    std::string_view name; ///< File name without its extension.
    std::string_view text; ///< The JSON text, unchanged.
};

/// All files of charts/. Thread-safe: the data is constant.
[[nodiscard]] std::span<const embedded_chart> embedded_charts();

} // namespace citronfall
