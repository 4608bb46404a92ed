#pragma once

#include "citronfall/checked_document.h"
#include "citronfall/document_check_request.h"
#include "citronfall/document_check_result.h"
#include "citronfall/document_problem.h"
#include "citronfall/document_state.h"
#include "citronfall/operator_config.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace citronfall {

/// Translates between the JSON text of the operators' document and values. Thread-safe.
class document_codec {
public:
    /// The platform holds values of this size; a frame between daemons holds a whole document.
    static constexpr std::size_t max_document_bytes = 1'000'000;

    /// Envelopes, overrides and history of a document. The contents of the sections are only parsed, not checked.
    [[nodiscard]] static std::variant<document_state, std::vector<document_problem>> decode(std::string_view text);

    /// The text that decode() reads back; compact.
    [[nodiscard]] static std::string encode(const document_state& document);

    /// As encode(), with line breaks and indents for people.
    [[nodiscard]] static std::string encode_readable(const document_state& document);

    /// The parts in which the document travels between daemons.
    [[nodiscard]] static std::vector<document_part> split(const document_state& document);

    /// The document that split() took apart.
    [[nodiscard]] static std::variant<document_state, std::vector<document_problem>>
    join(std::uint64_t revision, const std::vector<document_part>& parts);

    /// Checks the document as a whole: types, ranges, and references between sections, without and with the overrides
    /// that are active at `now_ms` (milliseconds since 1970). All problems found, or the checked document.
    [[nodiscard]] static std::variant<checked_document, std::vector<document_problem>>
    check(const document_state& document, std::int64_t now_ms);

    /// Reads and checks the input of the document thread.
    [[nodiscard]] static document_check_result check(const document_check_request& input, std::int64_t now_ms);

    /// The policy that a document asks for, without overrides that have an end; or all problems found.
    [[nodiscard]] static std::variant<operator_config, std::vector<document_problem>> read(std::string_view text);
};

} // namespace citronfall
