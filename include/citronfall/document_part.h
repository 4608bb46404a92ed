#pragma once

#include "citronfall/immutable.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace citronfall {

/// Parts in which the document is sent between daemons: its sections, its overrides and its history.
enum class document_part_id : std::uint8_t {
    databases,
    tenants,
    staleness,
    routing,
    limits,
    maintenance,
    overrides,
    history
};

inline constexpr std::size_t part_count = 8;

/// Number of sections; they are the first parts.
inline constexpr std::size_t section_count = 6;

/// Name of a part, as in the document. Thread-safe.
[[nodiscard]] constexpr std::string_view name(document_part_id part)
{
    constexpr std::array<std::string_view, part_count> names{"databases", "tenants",     "staleness", "routing",
                                                             "limits",    "maintenance", "overrides", "history"};
    return names[static_cast<std::size_t>(part)];
}

struct document_part_fields {
    document_part_id part = document_part_id::databases;
    std::uint64_t revision = 0; ///< Revision of the document that last changed the part.
    std::string text;           ///< Encoded content; opaque to the decision thread.

    friend auto operator<=>(const document_part_fields&, const document_part_fields&) = default;
};

/// Part of the operators' document.
class document_part : public immutable<document_part_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
