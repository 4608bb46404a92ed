#pragma once

#include "caller_session/caller_event.h"
#include "citronfall/chart.h"
#include "citronfall/error.h"
#include "citronfall/ids.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/log_position.h"
#include "deployment/route.h"
#include "leader/min_read_position.h"
#include "pool/session_settings.h"
#include "statement/statement.h"
#include "statement/transaction_state.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// Number of a statement within one daemon process; never reused.
using task_number = std::uint64_t;

/// Where a statement stands in a transaction.
enum class transaction_step {
    autocommit,             ///< Outside a transaction.
    opens_transaction,      ///< First statement of a transaction that may write.
    opens_read_transaction, ///< First statement of a transaction that only reads.
    in_transaction,         ///< Further statement; its connection is fixed.
};

/// Name for logs. Thread-safe.
[[nodiscard]] constexpr const char* transaction_step_name(transaction_step kind)
{
    switch (kind) {
    case transaction_step::autocommit:
        return "single";
    case transaction_step::opens_transaction:
        return "opens_transaction";
    case transaction_step::opens_read_transaction:
        return "opens_read_transaction";
    case transaction_step::in_transaction:
        break;
    }
    return "in_transaction";
}

/// Fields of a task's request.
struct task_request_fields {
    session_number session = 0;
    std::string request_id;
    parsed_statement query;
    std::optional<prepared_shape> shape; ///< Of EXECUTE.
    route matched_route;
    transaction_step kind = transaction_step::autocommit;
    bool writes = false;       ///< The statement itself writes.
    bool wrote_before = false; ///< An earlier statement of the transaction wrote.
    bool proves_lead = false;  ///< in_transaction only: the transaction was opened as one that may write.
    std::optional<min_read_position> newest_own_commit; ///< Newest commit of the session.
    session_values values;
    connection_number connection = 0; ///< in_transaction only.

    friend auto operator<=>(const task_request_fields&, const task_request_fields&) = default;
};

/// A statement to run on a member.
using task_request = immutable<task_request_fields>;

/// Fields of a task's outcome.
struct task_outcome_fields {
    std::vector<std::string> rows;
    std::string receipt;
    std::optional<error> failure;
    transaction_state state = transaction_state::none;
    std::optional<log_position> position;
    connection_number connection = 0; ///< Stays with the session while its transaction is open; else 0.
    bool leads = false;               ///< The connection's transaction may write.
    std::string member;               ///< That answered, if one did.
    instant sent_at{};                ///< When the statement was sent to it.

    friend auto operator<=>(const task_outcome_fields&, const task_outcome_fields&) = default;
};

/// How a statement ended.
using task_outcome = immutable<task_outcome_fields>;

/// A statement on its way (chart `statement`). Owned by statement_dispatcher.
struct statement_task {
    task_number number = 0;
    state_id state{};
    task_request request;
    instant arrived{};
    instant deadline{};
    instant not_before{};                          ///< No attempt before.
    connection_number connection = 0;              ///< 0 while it has none.
    std::string member;                            ///< Of the present or last attempt.
    bool on_leader = false;                        ///< The attempt goes to the leader and proves its lead.
    std::optional<min_read_position> min_position; ///< Of an attempt on any member.
    unsigned attempts = 0;                         ///< Sent so far.
    std::set<std::string> excluded;                ///< Members that refused it.
    std::optional<error> last_refusal;             ///< Why the last attempt did not run.
    bool sent_statement = false;                   ///< The present attempt went beyond its preparation.
    bool may_have_run = false;                     ///< An attempt was sent and lost.
    bool waited_for_leader = false;                ///< It is late through no queue, and is still wanted.
    std::size_t setup_left = 0;                    ///< Answers of the setup that are still to come.
    instant sent_at{};
};

} // namespace citronfall
