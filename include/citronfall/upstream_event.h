#pragma once

#include "citronfall/ids.h"
#include "citronfall/immutable.h"
#include "citronfall/instant.h"
#include "citronfall/member_answer.h"

namespace citronfall {

/// Kinds of events on a connection to a member.
enum class upstream_event_kind {
    opened,      ///< The connection is ready for exchanges.
    open_failed, ///< The connection could not be opened; its number is invalid.
    answered,    ///< The exchange ended with an answer.
    failed,      ///< The exchange ended without an answer; the connection is closed.
    closed,      ///< The member closed an idle connection.
};

struct upstream_event_fields {
    upstream_event_kind kind = upstream_event_kind::closed;
    connection_number connection = 0;
    exchange_number exchange = 0;
    member_answer answer;
    bool bytes_sent = false; ///< For a failed exchange: whether any byte of the call may have been sent.
    instant sent_at;         ///< When the call was written.
    instant received_at;

    friend auto operator<=>(const upstream_event_fields&, const upstream_event_fields&) = default;
};

/// Event on a connection to a member, sent by the upstream thread to the decision thread.
class upstream_event : public immutable<upstream_event_fields> {
public:
    using immutable::immutable;
};

} // namespace citronfall
