#pragma once

#include "citronfall/document_part.h"
#include "citronfall/immutable.h"

#include <cstdint>

namespace citronfall {

/// Fields of a part's digest.
struct part_digest_fields {
    document_part_id part = document_part_id::databases;
    std::uint64_t revision = 0;
    std::uint64_t hash = 0; ///< Of the text; tells two texts of the same revision apart.

    friend auto operator<=>(const part_digest_fields&, const part_digest_fields&) = default;
};

/// Identifies the state of one part of the document.
class part_digest : public immutable<part_digest_fields> {
public:
    using immutable::immutable;

    /// The digest of `part`. The hash (FNV-1a, 64 bit) is the same in all daemons. Thread-safe.
    [[nodiscard]] static part_digest of(const document_part& part);
};

/// The 64-bit FNV-1a hash of a text, the same in all daemons. Thread-safe.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text);

} // namespace citronfall
