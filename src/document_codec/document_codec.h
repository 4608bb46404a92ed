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

/// Encodes, decodes and validates the JSON text of the operators' document. Thread-safe.
class document_codec {
public:
    /// The largest value that the platform stores. A frame between daemons has room for a document of this size.
    static constexpr std::size_t max_document_bytes = 1'000'000;

    /// Decodes the metadata, overrides and history of a document. Section contents are parsed but not validated.
    [[nodiscard]] static std::variant<document_state, std::vector<document_problem>> decode(std::string_view text);

    /// Compact JSON that decode() accepts.
    [[nodiscard]] static std::string encode(const document_state& document);

    /// As encode(), but indented.
    [[nodiscard]] static std::string encode_readable(const document_state& document);

    /// Splits the document into the parts in which it is sent between daemons.
    [[nodiscard]] static std::vector<document_part> split(const document_state& document);

    /// Reassembles a document from the parts that split() returned.
    [[nodiscard]] static std::variant<document_state, std::vector<document_problem>>
    join(std::uint64_t revision, const std::vector<document_part>& parts);

    /// Validates types, ranges and references between sections, both without overrides and with those that are active
    /// at `now_ms` (milliseconds since 1970). Returns the checked document, or all problems found.
    [[nodiscard]] static std::variant<checked_document, std::vector<document_problem>>
    check(const document_state& document, std::int64_t now_ms);

    /// Decodes and validates an input of the document thread.
    [[nodiscard]] static document_check_result check(const document_check_request& input, std::int64_t now_ms);

    /// The configuration that a document specifies when all its overrides are active; or all problems found.
    [[nodiscard]] static std::variant<operator_config, std::vector<document_problem>> read(std::string_view text);
};

} // namespace citronfall
