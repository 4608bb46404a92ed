#pragma once

#include "caller_session/caller_event.h"

#include <compare>

namespace citronfall {

/// Offer of the decision thread to close a session's connection. It is void if the caller has sent more messages than
/// the decision thread had received, because these have to be answered first.
struct close_offer {
    message_count received = 0; ///< Messages that the decision thread has received in the session.
    bool last = false;          ///< No further message is read, so that the next offer cannot be void.

    friend auto operator<=>(const close_offer&, const close_offer&) = default;
};

} // namespace citronfall
