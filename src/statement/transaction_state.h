#pragma once

namespace citronfall {

/// State of a transaction as members and callers see it.
enum class transaction_state {
    none,
    open,
    failed, ///< Only the end of the transaction is accepted; it rolls back.
};

} // namespace citronfall
