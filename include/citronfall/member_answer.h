#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"
#include "citronfall/member_status.h"

#include <optional>
#include <string>

namespace citronfall {

/// Result code of a member's answer.
enum class member_verdict {
    done,           ///< The call was executed.
    wrong_term,     ///< The call's term differs from the member's; nothing was executed.
    behind,         ///< The member has not applied the minimum position; nothing was executed.
    conflict,       ///< The database rejected the statement; a definite outcome.
    cancelled,      ///< The request id was cancelled earlier, or (resolve) is cancelled by this call.
    no_slot,        ///< All slots are in use; nothing was executed.
    not_primary,    ///< The call requires the primary; nothing was executed.
    no_transaction, ///< The connection has no open transaction.
    malformed,      ///< The answer could not be decoded.
};

struct member_answer_fields {
    member_verdict verdict = member_verdict::malformed;
    term_number term = 0;                ///< Term of the member.
    log_position position;               ///< Position of the entry written or found, or that the read reflects.
    std::string result;                  ///< Result of the database as JSON text.
    std::optional<member_status> status; ///< For status and fence calls.

    friend auto operator<=>(const member_answer_fields&, const member_answer_fields&) = default;
};

/// Decoded answer of a member to a call.
class member_answer : public immutable<member_answer_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
