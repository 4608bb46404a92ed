#pragma once

#include "citronfall/instant.h"
#include "deployment/route.h"
#include "standin/connection_end.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronfall::soak {

/// Kind of a recorded statement.
enum class recorded_verb { start, begin, read, write, commit, rollback, set };

/// A statement and its answer as seen by the caller.
struct recorded_statement {
    std::string request_id;
    recorded_verb kind = recorded_verb::read;
    std::string item;
    std::string value; ///< Value of a write; unique within the run.
    instant sent_at{};
    std::optional<instant> answered_at{};    ///< Empty if no complete answer arrived.
    std::optional<std::string> error_code{}; ///< Error code of a refusal, also of an answer that is not complete.
    bool promises_no_effect = false;         ///< The error code guarantees that the statement had no effect.
    std::vector<std::string> rows{};
    std::string receipt{};
    std::map<std::string, std::string> values{};                 ///< Session values acknowledged before the statement.
    standin::connection_end end = standin::connection_end::open; ///< How the connection ended before the answer.
    instant ended_at{};                                          ///< When the caller noticed the end, or gave up.
    duration reading_delay{}; ///< Time from sending until the caller started to read.

    /// Whether the caller received a success.
    [[nodiscard]] bool succeeded() const { return answered_at && !error_code; }
};

/// An operation: a single statement, or a transaction from BEGIN to its end.
struct recorded_operation {
    std::uint64_t session = 0; ///< Unique within the run.
    std::size_t daemon = 0;
    read_consistency consistency = read_consistency::primary;
    bool transaction = false;
    std::vector<recorded_statement> statements;
};

} // namespace citronfall::soak
