#pragma once

#include "citronfall/error_kind.h"
#include "citronfall/outcome.h"

#include <span>
#include <string_view>

namespace citronfall {

/// Row of the table that maps error kinds to answers.
struct error_row {
    error_kind kind;
    std::string_view name; ///< Name of the error kind in answers, logs and counters.
    int http_status;       ///< HTTP status code of the answer.
    outcome effect;        ///< Effect that the caller may assume the statement had.
    bool may_retry;        ///< Whether a retry of the same request may succeed.
    std::string_view text; ///< Human-readable description.

    friend auto operator<=>(const error_row&, const error_row&) = default;
};

/// The whole table, one row per error kind, in the order of the enumeration. Thread-safe: constant data.
[[nodiscard]] std::span<const error_row> error_table();

/// The row of an error kind. Thread-safe.
[[nodiscard]] const error_row& error_row_for(error_kind kind);

} // namespace citronfall
