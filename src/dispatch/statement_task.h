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
#include "pool/session_values.h"
#include "statement/statement.h"
#include "statement/transaction_state.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace citronfall {

/// Identifies a statement within one daemon process; never reused.
using task_number = std::uint64_t;

/// Role of a statement in a transaction.
enum class transaction_step {
    autocommit,             ///< Outside a transaction.
    opens_transaction,      ///< First statement of a transaction that may write.
    opens_read_transaction, ///< First statement of a transaction that only reads.
    in_transaction,         ///< Further statement of a transaction; runs on the transaction's connection.
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
    std::string tenant; ///< Tenant of the caller; empty if it has none.
    parsed_statement query;
    std::optional<prepared_shape> shape; ///< Set for EXECUTE.
    route matched_route;
    transaction_step kind = transaction_step::autocommit;
    bool writes = false;       ///< The statement itself writes.
    bool wrote_before = false; ///< An earlier statement of the transaction wrote.
    bool proves_lead = false;  ///< in_transaction only: opened for writing, so an answer proves leadership.
    std::optional<min_read_position> newest_own_commit; ///< Position of the session's newest commit.
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
    connection_number connection = 0; ///< Pinned to the session while its transaction is open; else 0.
    bool leads = false;               ///< The attempt needed the leader; an open transaction may write.
    std::string member;               ///< Member of the last attempt; empty if there was none.
    instant sent_at{};                ///< When the statement was sent to the member.

    friend auto operator<=>(const task_outcome_fields&, const task_outcome_fields&) = default;
};

/// How a statement ended.
using task_outcome = immutable<task_outcome_fields>;

/// A statement in progress (chart `statement`). Owned by statement_dispatcher.
struct statement_task {
    task_number number = 0;
    state_id state{};
    task_request request;
    instant arrived{};
    instant deadline{};
    instant not_before{};             ///< Earliest time of the next attempt.
    connection_number connection = 0; ///< 0: none.
    std::string member;               ///< Member of the current or last attempt.
    bool on_leader = false;           ///< The attempt needs the leader; its answer proves that the member leads.
    std::optional<min_read_position> min_position; ///< Required by the read; set while any member may serve it.
    unsigned attempts = 0;                         ///< Attempts made so far.
    std::set<std::string> excluded;                ///< Members that refused it.
    std::optional<error> last_refusal;             ///< Why the last attempt failed.
    bool sent_statement = false;           ///< The current attempt has sent the statement itself, not only its setup.
    bool may_have_run = false;             ///< An earlier attempt sent it and got no answer.
    bool waited_for_leader = false;        ///< It has waited for a leader: only its deadline still counts.
    std::size_t setup_answers_pending = 0; ///< Setup statements without an answer yet.
    instant sent_at{};
};

} // namespace citronfall
