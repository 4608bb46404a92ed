#pragma once

#include "citronfall/chart.h"
#include "citronfall/ids.h"
#include "citronfall/instant.h"
#include "pool/exchange.h"
#include "pool/session_settings.h"
#include "statement/transaction_state.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace citronfall {

/// State of one connection to a member (chart `member_connection`). Owned by member_pool.
struct pooled_connection {
    connection_number number = 0;
    std::string member;
    state_id state{};
    transaction_state transaction = transaction_state::none; ///< As of the member's last answer.
    session_values values;                                   ///< Set on the connection.
    std::map<prepared_shape, std::string> prepared;          ///< Names on the connection.
    std::deque<exchange> exchanges;                          ///< Oldest first; the member answers in order.
    std::function<void(instant)> lost;                       ///< Of the present user, called if no exchange is open.
    instant opened_at{};                                     ///< When the attempt to connect began.
    instant idle_since{};
};

} // namespace citronfall
