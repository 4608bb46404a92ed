#pragma once

#include "citronfall/immutable.h"
#include "dispatch/statement_task.h"

#include <cstdint>

namespace citronfall {

struct relayed_outcome_fields {
    std::uint64_t number = 0;      ///< Number of the statement; 0: the transaction was lost while idle.
    task_outcome outcome;          ///< Its connection is local to the sender and not sent.
    std::uint64_t transaction = 0; ///< Transaction that remains open on the sender; 0: none.

    friend auto operator<=>(const relayed_outcome_fields&, const relayed_outcome_fields&) = default;
};

/// Result of a relayed statement.
using relayed_outcome = immutable<relayed_outcome_fields>;

} // namespace citronfall
