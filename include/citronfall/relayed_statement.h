#pragma once

#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "dispatch/statement_task.h"

#include <cstdint>

namespace citronfall {

struct relayed_statement_fields {
    std::uint64_t number = 0;      ///< Echoed in the outcome.
    task_request request;          ///< Its session and connection are local to the sender and not sent.
    duration own_commit_age{};     ///< Age of the session's last commit; instants are not comparable between daemons.
    std::uint64_t transaction = 0; ///< Open transaction on the receiver that the statement is part of; 0: none.

    friend auto operator<=>(const relayed_statement_fields&, const relayed_statement_fields&) = default;
};

/// Statement that a daemon sends to another one that holds connections to the service's members.
using relayed_statement = immutable<relayed_statement_fields>;

} // namespace citronfall
