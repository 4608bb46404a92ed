#pragma once

#include "citronfall/instant.h"
#include "deployment/route.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronfall::soak {

/// What a caller asked for with one statement.
enum class asked_kind { begin, read, write, commit, rollback, set };

/// One statement as its caller saw it.
struct recorded_statement {
    std::string request_id;
    asked_kind kind = asked_kind::read;
    std::string item;
    std::string value; ///< Of a write; unique in the run.
    instant sent_at{};
    std::optional<instant> answered_at{};    ///< Nothing: no whole answer.
    std::optional<std::string> error_code{}; ///< Word of the error.
    bool promises_no_effect = false;         ///< The refusal promises that nothing is kept.
    std::vector<std::string> rows{};
    std::string receipt{};
    std::map<std::string, std::string> values{}; ///< Session values that were confirmed before.

    /// Whether the caller received a success.
    [[nodiscard]] bool succeeded() const { return answered_at && !error_code; }
};

/// One operation: a single statement, or a transaction from its BEGIN to its end.
struct recorded_operation {
    std::uint64_t session = 0; ///< Unique in the run.
    std::size_t daemon = 0;
    read_consistency consistency = read_consistency::primary;
    bool transaction = false;
    std::vector<recorded_statement> statements;
};

} // namespace citronfall::soak
