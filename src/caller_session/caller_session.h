#pragma once

#include "caller_session/caller_event.h"
#include "caller_session/caller_reply.h"
#include "caller_session/session_end_reason.h"
#include "citronfall/chart.h"
#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "deployment/route.h"
#include "dispatch/statement_task.h"
#include "leader/min_read_position.h"
#include "pool/session_values.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace citronfall {

/// State of one caller's session (chart `session`). Owned by session_table.
struct caller_session {
    session_number number = 0;
    std::string database;
    std::string key; ///< Identifies the tenant; a secret, never logged.
    state_id state{};
    session_values values;
    std::map<std::string, prepared_shape> prepared;
    std::size_t kept_bytes = 0;                         ///< What the session is charged for what it keeps.
    std::optional<min_read_position> newest_own_commit; ///< Position of the session's newest commit.
    std::optional<route> transaction_route;             ///< Route that was in force when the transaction began.
    bool read_only = false;                             ///< The transaction is read-only.
    bool wrote = false;                                 ///< The transaction has sent a write.
    bool on_leader = false;                             ///< The transaction was accepted by the leader.
    connection_number connection = 0;                   ///< Connection pinned to the open transaction; 0: none.
    task_number task = 0;                               ///< Number of the submitted statement; 0: none.
    instant task_started{};
    std::optional<caller_statement> current;      ///< Statement that is being processed.
    std::optional<statement_reply_fields> answer; ///< Answer to send after the transition of the chart.
    std::deque<caller_statement> waiting;         ///< Statements received while an earlier one is processed.
    instant last_used{};
    message_count received = 0;                 ///< Messages received from the caller.
    std::optional<message_count> close_offered; ///< Messages received at the last offer to close the connection.
    session_end_reason close_reason{};          ///< Reason of the offer.
    bool refuses_statements = false;            ///< The time for running statements is over.
    bool close_announced = false;               ///< A statement has crossed the notice of a close.
    bool close_when_idle = false;               ///< The daemon is shutting down.
};

} // namespace citronfall
