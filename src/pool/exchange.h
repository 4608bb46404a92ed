#pragma once

#include "citronfall/instant.h"
#include "pool/member_event.h"

#include <functional>
#include <variant>

namespace citronfall {

/// The connection ended before the answer was complete; the statement may have run.
struct exchange_lost {
    connection_end_reason end = connection_end_reason::reset;

    friend auto operator<=>(const exchange_lost&, const exchange_lost&) = default;
};

/// Result of a statement sent on a connection.
using exchange_outcome = std::variant<member_reply, exchange_lost>;

/// Called once with the result of a statement, on the decision thread, unless the connection is discarded.
using exchange_hook = std::function<void(const exchange_outcome&, instant)>;

/// A statement in flight on a connection: sent, and not answered yet.
struct exchange {
    instant sent_at{};
    bool counts_as_load = false; ///< Counts as load on the member and in its latency estimate.
    exchange_hook ended;
};

} // namespace citronfall
