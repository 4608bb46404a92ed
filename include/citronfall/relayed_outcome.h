#pragma once

#include "citronfall/immutable.h"
#include "dispatch/statement_task.h"

#include <cstdint>

namespace citronfall {

/// Fields of a relayed outcome.
struct relayed_outcome_fields {
    std::uint64_t number = 0;      ///< Of the statement; 0: the transaction was lost while no statement ran.
    task_outcome outcome;          ///< Its connection is the sender's own and not sent.
    std::uint64_t transaction = 0; ///< Transaction that stays open on the sender; 0: none.

    friend auto operator<=>(const relayed_outcome_fields&, const relayed_outcome_fields&) = default;
};

/// How a relayed statement ended.
using relayed_outcome = immutable<relayed_outcome_fields>;

} // namespace citronfall
