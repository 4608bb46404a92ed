#pragma once

#include "citronfall/chart.h"
#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "pool/exchange.h"
#include "pool/session_values.h"
#include "statement/transaction_state.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <string>

namespace citronfall {

/// State of one connection to a member (chart `member_connection`). Owned by member_pool.
struct pooled_connection {
    connection_number number = 0;
    std::string member;
    std::string tenant; ///< Tenant to which it belongs for good; empty: the daemon's own or no tenant's.
    state_id state{};
    transaction_state transaction = transaction_state::none; ///< As of the member's last answer.
    session_values values;                                   ///< Session values that are set on the connection.
    std::map<prepared_shape, std::string> prepared;          ///< Prepared shapes, with their names on the connection.
    std::size_t value_bytes = 0;                             ///< Length of the values and their names.
    std::size_t prepared_bytes = 0;                          ///< Length of the prepared shapes.
    std::deque<exchange> exchanges;    ///< Statements in flight, oldest first; the member answers in order.
    std::function<void(instant)> lost; ///< Called if the connection ends while no statement is in flight.
    instant opened_at{};               ///< Start of the connection attempt.
    instant idle_since{};
    bool answer_timeout_armed = false; ///< The pool has a timer for the answer to a statement of the daemon itself.
    bool surplus_check_armed = false;  ///< The pool has a timer for the end of the connection.
};

} // namespace citronfall
