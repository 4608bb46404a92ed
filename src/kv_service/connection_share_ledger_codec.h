#pragma once

#include "connection_share/connection_share_ledger.h"

#include <optional>
#include <string>

namespace citronfall {

/// JSON text of the platform's values `shares/<group>`.
class connection_share_ledger_codec {
public:
    /// The text that decode() reads back. Thread-safe.
    [[nodiscard]] static std::string encode(const connection_share_ledger& ledger);

    /// Reads a ledger; nothing if the text is malformed or a key is missing or of a wrong type. Thread-safe.
    [[nodiscard]] static std::optional<connection_share_ledger> decode(const std::string& text);
};

} // namespace citronfall
