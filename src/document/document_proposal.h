#pragma once

#include "citronfall/document_problem.h"
#include "citronfall/document_state.h"
#include "citronfall/immutable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace citronfall {

/// Fields of a proposed change.
struct document_proposal_fields {
    std::string author;
    std::string team; ///< Must own every section that is changed.
    std::string reason;
    std::int64_t time = 0; ///< Milliseconds since 1970.
    std::string nonce;
    document_state base; ///< The document on which the author decided.
    std::map<document_part_id, document_section>
        sections; ///< Wanted owner and content of the sections that the change names.
    std::optional<std::vector<document_override>> overrides; ///< Wanted overrides; absent: not changed.
    bool adopt = false;             ///< Accepts what the platform holds although no accepted change led to it.
    std::uint64_t min_revision = 0; ///< The change gets a greater revision than this one, which is in force somewhere.

    friend auto operator<=>(const document_proposal_fields&, const document_proposal_fields&) = default;
};

/// What an operator wants to change.
class document_proposal : public immutable<document_proposal_fields> {
public:
    using immutable::immutable;
};

/// Greatest number of history entries, apart from the newest entry of each part, which always stays.
inline constexpr std::size_t max_history = 64;

/// The parts whose values the history does not lead to, and what the history knows of them. Thread-safe.
[[nodiscard]] std::vector<document_problem> unrecorded_parts(const document_state& document);

/// The hash that a history entry records for a part of `document`. Thread-safe.
[[nodiscard]] std::uint64_t part_hash(const document_state& document, document_part_id part);

/// The document after `proposal` was applied to `current`, or why it is refused.
///
/// Sections that another operator changed since the proposal's base are a conflict; the problem names the other author,
/// reason and revision. Changes of other sections since then are kept. A section is changed only by its owner. The
/// revision only grows. If nothing differs, the result equals `current`. The contents are not checked. Thread-safe.
[[nodiscard]] std::variant<document_state, std::vector<document_problem>>
apply_proposal(const document_state& current, const document_proposal& proposal);

} // namespace citronfall
