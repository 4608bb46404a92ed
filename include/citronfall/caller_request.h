#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/session_token.h"
#include "citronfall/statement_kind.h"

#include <optional>
#include <string>

namespace citronfall {

/// Operations that a caller can request.
enum class caller_operation { statement, begin, transaction_statement, commit, rollback };

struct caller_request_fields {
    request_handle handle = 0;
    caller_operation operation = caller_operation::statement;
    std::string tenant;
    std::string class_name;
    std::string group;
    statement_kind kind = statement_kind::read;
    std::string statement;  ///< Passed to the database without parsing.
    std::string request_id; ///< Idempotency key for at-most-once execution; required for writes and commits.
    bool repeatable = false;
    bool retry = false; ///< The id was sent before, perhaps through another daemon, without a known outcome.
    instant received;
    instant deadline;
    std::optional<duration> max_staleness; ///< Staleness bound of a read; absent: it must be current.
    std::optional<session_token> session;  ///< Absent if the caller sent none or a malformed one.
    std::string transaction;

    friend auto operator<=>(const caller_request_fields&, const caller_request_fields&) = default;
};

/// Request of a caller, independent of the front end's protocol.
class caller_request : public immutable<caller_request_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
