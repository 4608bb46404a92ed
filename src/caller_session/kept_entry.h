#pragma once

#include <cstddef>
#include <string_view>

namespace citronfall {

/// Bytes that a session is charged for a name and a text that it keeps. While a statement of the session runs, the text
/// has copies in the task, in the buffer for the member and on the member's connection; the entry has memory of its
/// own. Thread-safe.
[[nodiscard]] constexpr std::size_t kept_entry_bytes(std::string_view name, std::string_view text)
{
    constexpr std::size_t copies = 4;
    constexpr std::size_t entry_overhead = 128;
    return entry_overhead + copies * (name.size() + text.size());
}

} // namespace citronfall
