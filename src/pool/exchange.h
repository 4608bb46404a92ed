#pragma once

#include "citronfall/instant.h"
#include "pool/member_event.h"

#include <functional>
#include <variant>

namespace citronfall {

/// The connection ended before the answer was whole; the statement may have run.
struct exchange_lost {
    connection_end_reason end = connection_end_reason::reset;

    friend auto operator<=>(const exchange_lost&, const exchange_lost&) = default;
};

/// How a statement on a connection ended.
using exchange_outcome = std::variant<member_reply, exchange_lost>;

/// Called once with the end of a statement, on the decision thread.
using exchange_hook = std::function<void(const exchange_outcome&, instant)>;

/// A statement that was sent and is not answered yet.
struct exchange {
    instant sent_at{};
    bool measured = false; ///< Its duration says how busy the member is.
    exchange_hook ended;
};

} // namespace citronfall
