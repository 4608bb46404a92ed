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
    document_state base;                                     ///< The document that the author edited.
    std::map<document_part_id, document_section> sections;   ///< New owner and content of each changed section.
    std::optional<std::vector<document_override>> overrides; ///< All new overrides; absent: unchanged.
    bool adopt = false;             ///< Records stored values that were not set by an accepted change.
    std::uint64_t min_revision = 0; ///< Highest revision known to be in force; the new revision must exceed it.

    friend auto operator<=>(const document_proposal_fields&, const document_proposal_fields&) = default;
};

/// A change of the document that an operator proposes.
class document_proposal : public immutable<document_proposal_fields> {
public:
    using immutable::immutable;
};

/// Maximum number of history entries. The newest entry of each part is kept even beyond it.
inline constexpr std::size_t max_history = 64;

/// One problem for each part whose value differs from the one that the history records. Thread-safe.
[[nodiscard]] std::vector<document_problem> unrecorded_parts(const document_state& document);

/// The hash that a history entry records for a part of `document`. Thread-safe.
[[nodiscard]] std::uint64_t part_hash(const document_state& document, document_part_id part);

/// Applies `proposal` to `current` and returns the new document, or the reasons why it is refused.
///
/// A proposal conflicts if it changes a section that was also changed after the proposal's base; the problem names the
/// author, reason and revision of that change. Later changes of other sections are kept. Only its owner may change a
/// section. The new revision is higher than all earlier ones. Returns `current` if nothing differs. Does not validate
/// the contents of the sections. Thread-safe.
[[nodiscard]] std::variant<document_state, std::vector<document_problem>>
apply_proposal(const document_state& current, const document_proposal& proposal);

} // namespace citronfall
