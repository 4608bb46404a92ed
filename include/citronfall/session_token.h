#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"
#include "citronfall/result.h"

#include <map>
#include <string>
#include <string_view>

namespace citronfall {

struct session_token_fields {
    std::map<std::string, log_position> positions; ///< Highest log position seen, by group.

    friend auto operator<=>(const session_token_fields&, const session_token_fields&) = default;
};

/// Log positions that a caller has seen. The caller sends it with each request, so that its session can move between
/// daemons.
class session_token : public immutable<session_token_fields> {
public:
    using immutable::immutable;

    /// Decodes a header value: `group=term.index` pairs separated by commas, followed by `;` and a checksum. Error
    /// (bad_request) if the text is malformed, longer than 8 KiB or fails its checksum. Thread-safe.
    [[nodiscard]] static result<session_token> make(std::string_view header);

    /// Encodes the header value that make() decodes. Thread-safe.
    [[nodiscard]] std::string encode() const;

    /// Highest position seen in a group; index 0 if none. Thread-safe.
    [[nodiscard]] log_position position(const std::string& group) const;

    /// Returns this token with `position` of `group` added. Thread-safe.
    [[nodiscard]] session_token seen(const std::string& group, const log_position& position) const;
};

} // namespace citronfall
