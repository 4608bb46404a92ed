#pragma once

#include "citronfall/document_part.h"
#include "citronfall/immutable.h"

#include <cstdint>

namespace citronfall {

struct part_digest_fields {
    document_part_id part = document_part_id::databases;
    std::uint64_t revision = 0;
    std::uint64_t hash = 0; ///< Hash of the text; distinguishes texts of the same revision.

    friend auto operator<=>(const part_digest_fields&, const part_digest_fields&) = default;
};

/// Identifies the state of one part of the document.
class part_digest : public immutable<part_digest_fields> {
public:
    using immutable::immutable;

    /// Computes the digest of `part`. Thread-safe.
    [[nodiscard]] static part_digest of(const document_part& part);
};

/// 64-bit FNV-1a hash of a text, which is the same on all daemons. Thread-safe.
[[nodiscard]] std::uint64_t stable_hash(std::string_view text);

} // namespace citronfall
