#pragma once

#include <string>
#include <vector>

namespace citronfall {

/// Formats rows as text in aligned columns. The first row is the heading. Thread-safe.
[[nodiscard]] std::string text_table(const std::vector<std::vector<std::string>>& rows);

} // namespace citronfall
