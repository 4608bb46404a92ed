#pragma once

#include "citronfall/result.h"
#include "failover/failover_record.h"

#include <string>

namespace citronfall {

/// JSON text of the platform's values `groups/<group>`.
class failover_record_codec {
public:
    /// The text that decode() reads back. Thread-safe.
    [[nodiscard]] static std::string encode(const failover_record& record);

    /// Reads a record. Error (bad_request) if the text is malformed, or a key is missing, unknown or of a wrong type.
    /// Thread-safe.
    [[nodiscard]] static result<failover_record> decode(const std::string& text);
};

} // namespace citronfall
