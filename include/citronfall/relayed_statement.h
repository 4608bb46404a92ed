#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "dispatch/statement_task.h"

#include <cstdint>

namespace citronfall {

/// Fields of a relayed statement.
struct relayed_statement_fields {
    std::uint64_t number = 0;      ///< Repeated in the outcome.
    task_request request;          ///< Its session and connection are the sender's own and not sent.
    duration own_commit_age{};     ///< Since when the session's own commit was known; instants mean nothing elsewhere.
    std::uint64_t transaction = 0; ///< Open transaction on the receiver to which the statement belongs; 0: none.

    friend auto operator<=>(const relayed_statement_fields&, const relayed_statement_fields&) = default;
};

/// A caller's statement that another daemon runs, because it holds connections to the members.
using relayed_statement = immutable<relayed_statement_fields>;

} // namespace citronfall
