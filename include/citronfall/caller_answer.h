#pragma once

#include "citronfall/error_kind.h"
#include "citronfall/evidence_kind.h"
#include "citronfall/ids.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/session_token.h"

#include <optional>
#include <string>

namespace citronfall {

struct caller_answer_fields {
    request_handle handle = 0;
    std::optional<error_kind> failure; ///< Absent if the request succeeded.
    std::string detail;                ///< Details of the failure.
    evidence_kind evidence = evidence_kind::none;
    std::string result;      ///< Result of the database as JSON text; empty if there is none.
    std::string transaction; ///< Id of the transaction if the request began one, else empty.
    session_token session;
    std::optional<duration> retry_after; ///< Delay after which a retry may succeed.
    bool close_connection = false;       ///< The front end closes the connection after the answer.

    friend auto operator<=>(const caller_answer_fields&, const caller_answer_fields&) = default;
};

/// Answer to a caller's request, independent of the protocol that encodes it.
class caller_answer : public immutable<caller_answer_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
