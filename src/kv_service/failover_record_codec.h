#pragma once

#include "citronfall/result.h"
#include "failover/failover_record.h"

#include <string>

namespace citronfall {

/// Codec of the key-value entries `groups/<group>`, which hold JSON.
class failover_record_codec {
public:
    /// Encodes a record in the format that decode() accepts. Thread-safe.
    [[nodiscard]] static std::string encode(const failover_record& record);

    /// Decodes a record. Error: bad_request if the text is malformed, or a key is missing, unknown or of the wrong
    /// type. Thread-safe.
    [[nodiscard]] static result<failover_record> decode(const std::string& text);
};

} // namespace citronfall
