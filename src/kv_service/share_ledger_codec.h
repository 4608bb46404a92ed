#pragma once

#include "share/share_ledger.h"

#include <optional>
#include <string>

namespace citronfall {

/// JSON text of the platform's values `shares/<group>`.
class share_ledger_codec {
public:
    /// The text that decode() reads back. Thread-safe.
    [[nodiscard]] static std::string encode(const share_ledger& ledger);

    /// Reads a ledger; nothing if the text is malformed or a key is missing or of a wrong type. Thread-safe.
    [[nodiscard]] static std::optional<share_ledger> decode(const std::string& text);
};

} // namespace citronfall
