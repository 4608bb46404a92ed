#pragma once

#include "citronfall/error_kind.h"
#include "citronfall/outcome.h"

#include <span>
#include <string_view>

namespace citronfall {

/// One row of the table from error kind to answer.
struct error_row {
    error_kind kind;
    std::string_view name; ///< Name of the kind in answers, logs and counters.
    int http_status;       ///< Status code of the answer.
    outcome effect;        ///< What the caller may conclude about the statement.
    bool may_retry;        ///< Whether sending the same request again can help.
    std::string_view text; ///< Sentence for people.

    friend auto operator<=>(const error_row&, const error_row&) = default;
};

/// The whole table, one row a kind in the order of the enumeration. Thread-safe: constant data.
[[nodiscard]] std::span<const error_row> error_table();

/// The row of one kind. Thread-safe.
[[nodiscard]] const error_row& error_row_for(error_kind kind);

} // namespace citronfall
