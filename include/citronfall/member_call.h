#pragma once

#include "citronfall/immutable.h"
#include "citronfall/log_position.h"
#include "citronfall/statement_kind.h"

#include <string>

namespace citronfall {

/// Calls of the database protocol.
enum class member_operation { statement, begin, commit, rollback, resolve, status, fence, promote, follow };

struct member_call_fields {
    member_operation operation = member_operation::status;
    term_number term = 0;
    std::string request_id;
    statement_kind kind = statement_kind::read;
    std::string statement;
    log_position minimum;        ///< The member refuses a read while it has not applied this position.
    std::string primary_address; ///< For a follow call: "ip:port".

    friend auto operator<=>(const member_call_fields&, const member_call_fields&) = default;
};

/// Call to a member, before encoding.
class member_call : public immutable<member_call_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
