#pragma once

#include "connection_share/connection_share_ledger.h"

#include <optional>
#include <string>

namespace citronfall {

/// Codec of the key-value entries `shares/<group>`, which hold JSON.
class connection_share_ledger_codec {
public:
    /// Encodes a ledger in the format that decode() accepts. Thread-safe.
    [[nodiscard]] static std::string encode(const connection_share_ledger& ledger);

    /// Decodes a ledger. Returns nothing if the text is malformed, or a key is missing or of the wrong type.
    /// Thread-safe.
    [[nodiscard]] static std::optional<connection_share_ledger> decode(const std::string& text);
};

} // namespace citronfall
